package toucancommand

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"
	"go.uber.org/zap/zapcore"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"

	"toucanstair.example/toucanstair/toucantrace"
)

// envPrefix is put before a flag's name in capitals to name its environment
// variable; a flag on the command line goes before the variable.
const envPrefix = "TOUCANSTAIR_"

const (
	maxName     = 64 // bytes of a host or zone name
	maxInflight = 1_000_000
	maxClaims   = 10_000
	// minBeat and maxBeat keep several heartbeats within the lease of 3 s.
	minBeat = 10 * time.Millisecond
	maxBeat = time.Second
	maxWait = time.Hour
)

// Settings are the values of all flags.
type Settings struct {
	Name              string        // host name, unique in its zone
	Zone              string        // availability zone
	CallerAddress     string        // listen address for callers
	PeerAddress       string        // listen address for other hosts
	OpsAddress        string        // listen address for operators
	AdvertisedAddress string        // peer address that other hosts connect to; "" means the one listened on
	SourceAddress     string        // source address of connections to peers and the store; "" leaves it to the system
	StoreAddress      string        // address of the platform's store; "" means none
	SeedAddresses     []string      // peer addresses asked first
	HeartbeatInterval time.Duration // between heartbeats
	MaxInFlight       int           // queries at a time
	Linger            time.Duration // between failing readiness and refusing queries
	Grace             time.Duration // limit for a shutdown
	ClaimWriteRate    int           // store writes a second for idempotency claims
	TraceExporter     string        // none, stdout or otlp
	LogLevel          string        // log level
	SelectorPolicy    string        // random or balanced
	Hedge             bool          // hedge slow legs
	Report            bool          // print the listening addresses to stdout
	Pprof             bool          // serve /debug/pprof to operators
}

var (
	traces = toucantrace.Exporters
	levels = []string{"debug", "info", "warn", "error"}
	routes = []string{"random", "balanced"}
)

// bind declares the flags with their defaults.
func (s *Settings) bind(f *pflag.FlagSet) {
	f.StringVar(&s.Name, "name", "", "host name, unique in its zone")
	f.StringVar(&s.Zone, "zone", "", "availability zone of this host")
	f.StringVar(&s.CallerAddress, "callers", "127.0.0.1:0", "listen address for callers")
	f.StringVar(&s.PeerAddress, "peers", "127.0.0.1:0", "listen address for other hosts")
	f.StringVar(&s.OpsAddress, "ops", "127.0.0.1:0", "listen address for operators")
	f.StringVar(&s.AdvertisedAddress, "advertise", "", "peer address that other hosts connect to (default: the one listened on)")
	f.StringVar(&s.SourceAddress, "source", "", "source address of outgoing connections to peers and the store (default: the system's choice)")
	f.StringVar(&s.StoreAddress, "store", "", "address of the platform's store (default: run without the store)")
	f.StringSliceVar(&s.SeedAddresses, "seeds", nil, "peer addresses of hosts asked first, separated by commas")
	f.DurationVar(&s.HeartbeatInterval, "beat", 500*time.Millisecond, "time between heartbeats")
	f.IntVar(&s.MaxInFlight, "inflight", 1000, "queries that may run at a time")
	f.DurationVar(&s.Linger, "linger", 2*time.Second, "time between failing readiness and refusing queries on shutdown")
	f.DurationVar(&s.Grace, "grace", 30*time.Second, "time limit for a graceful shutdown")
	f.IntVar(&s.ClaimWriteRate, "claims", 50, "store writes a second for idempotency claims")
	f.StringVar(&s.TraceExporter, "trace", "none", "exporter of traces: "+strings.Join(traces, ", "))
	f.StringVar(&s.LogLevel, "level", "info", "log level: "+strings.Join(levels, ", "))
	f.StringVar(&s.SelectorPolicy, "route", "balanced", "selection of replicas: "+strings.Join(routes, ", "))
	f.BoolVar(&s.Hedge, "hedge", true, "hedge slow legs")
	f.BoolVar(&s.Report, "report", false, "print one JSON line with the listening addresses to stdout")
	f.BoolVar(&s.Pprof, "pprof", false, "serve /debug/pprof to operators")
}

// variable returns the environment variable of a flag.
func variable(flag string) string { return envPrefix + strings.ToUpper(flag) }

// environment sets the flags that are not on the command line from their
// variables.
func environment(f *pflag.FlagSet) error {
	var first error
	f.VisitAll(func(flag *pflag.Flag) {
		value, ok := os.LookupEnv(variable(flag.Name))
		if !ok || flag.Changed || first != nil {
			return
		}
		if err := f.Set(flag.Name, value); err != nil {
			first = mistyped(flag, value, err)
		}
	})
	return first
}

// mistyped returns the failure of a value that is not of the flag's type.
func mistyped(flag *pflag.Flag, value string, cause error) error {
	allowed := map[string]string{
		"bool":     "true or false",
		"int":      "a whole number",
		"duration": "a duration such as 500ms or 2s",
	}[flag.Value.Type()]
	if allowed == "" {
		allowed = flag.Usage
	}
	return wrong(flag.Name, value, allowed).Because(cause)
}

// check returns the first value that is not allowed.
func (s *Settings) check() error {
	for _, c := range []struct {
		flag, value, allowed string
		ok                   bool
	}{
		{"name", s.Name, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxName), isName(s.Name)},
		{"zone", s.Zone, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxName), isName(s.Zone)},
		{"callers", s.CallerAddress, "an IP address and port such as 127.0.0.1:8080", isAddress(s.CallerAddress)},
		{"peers", s.PeerAddress, "an IP address and port such as 127.0.0.1:0", isAddress(s.PeerAddress)},
		{"ops", s.OpsAddress, "an IP address and port such as 127.0.0.1:0", isAddress(s.OpsAddress)},
		{"advertise", s.AdvertisedAddress, "an IP address and port that other hosts can reach, not 0.0.0.0 and not port 0; needed when --peers listens on all addresses", s.advertisable()},
		{"source", s.SourceAddress, "an IP address of this machine, or nothing", s.SourceAddress == "" || isSource(s.SourceAddress)},
		{"store", s.StoreAddress, "an IP address and port, or nothing", s.StoreAddress == "" || isReachable(s.StoreAddress)},
		{"beat", s.HeartbeatInterval.String(), within(minBeat, maxBeat), s.HeartbeatInterval >= minBeat && s.HeartbeatInterval <= maxBeat},
		{"inflight", fmt.Sprint(s.MaxInFlight), fmt.Sprint("1 to ", maxInflight), s.MaxInFlight >= 1 && s.MaxInFlight <= maxInflight},
		{"linger", s.Linger.String(), within(0, maxWait), s.Linger >= 0 && s.Linger <= maxWait},
		{"grace", s.Grace.String(), "more than --linger and at most " + maxWait.String(), s.Grace > s.Linger && s.Grace <= maxWait},
		{"claims", fmt.Sprint(s.ClaimWriteRate), fmt.Sprint("0 to ", maxClaims), s.ClaimWriteRate >= 0 && s.ClaimWriteRate <= maxClaims},
		{"trace", s.TraceExporter, strings.Join(traces, ", "), slices.Contains(traces, s.TraceExporter)},
		{"level", s.LogLevel, strings.Join(levels, ", "), slices.Contains(levels, s.LogLevel)},
		{"route", s.SelectorPolicy, strings.Join(routes, ", "), slices.Contains(routes, s.SelectorPolicy)},
	} {
		if !c.ok {
			return wrong(c.flag, c.value, c.allowed)
		}
	}
	for _, seed := range s.SeedAddresses {
		if !isReachable(seed) {
			return wrong("seeds", seed, "IP addresses and ports separated by commas")
		}
	}
	return nil
}

func (s *Settings) level() zapcore.Level {
	l, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}

func (s *Settings) advertisable() bool {
	if s.AdvertisedAddress == "" {
		a, err := netip.ParseAddrPort(s.PeerAddress)
		return err != nil || !a.Addr().IsUnspecified()
	}
	return isReachable(s.AdvertisedAddress)
}

func isName(s string) bool {
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return s != "" && len(s) <= maxName
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isReachable(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func isSource(s string) bool {
	a, err := netip.ParseAddr(s)
	return err == nil && !a.IsUnspecified()
}

func within(low, high time.Duration) string { return fmt.Sprintf("%s to %s", low, high) }

func wrong(flag, value, allowed string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
		fmt.Sprintf("--%s (%s): %q is not allowed; allowed: %s", flag, variable(flag), value, allowed))
}
