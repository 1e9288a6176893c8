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

// envPrefix and the name of a flag in upper case form the name of its environment
// variable. The command line overrides the environment.
const envPrefix = "TOUCANSTAIR_"

const (
	maxNameBytes         = 64        // of a host or zone name
	maxInFlight          = 1_000_000 // queries
	maxClaimWriteRate    = 10_000    // store writes per second
	minHeartbeatInterval = 10 * time.Millisecond
	// maxHeartbeatInterval leaves time for several heartbeats within a lease of 3 s.
	maxHeartbeatInterval = time.Second
	maxShutdownDuration  = time.Hour
)

// Settings holds the values of all flags.
type Settings struct {
	Name              string        // host name, unique in its zone
	Zone              string        // availability zone
	CallerAddress     string        // listen address for callers
	PeerAddress       string        // listen address for other hosts
	OpsAddress        string        // listen address for operators
	AdvertisedAddress string        // peer address that other hosts connect to; "" means the listen address
	SourceAddress     string        // source address of connections to peers and the store; "" lets the system choose
	StoreAddress      string        // address of the platform's store; "" means none
	SeedAddresses     []string      // peer addresses of the hosts contacted first
	HeartbeatInterval time.Duration // between heartbeats
	MaxInFlight       int           // limit for queries in flight
	Linger            time.Duration // between failing readiness and refusing queries
	Grace             time.Duration // limit for the whole graceful shutdown, including Linger
	ClaimWriteRate    int           // limit for store writes per second for idempotency claims; 0 means toucanclaim's default
	TraceExporter     string        // none, stdout or otlp
	LogLevel          string        // debug, info, warn or error
	SelectorPolicy    string        // random or balanced
	Hedge             bool          // send hedged requests for slow legs
	Report            bool          // print the listening addresses to stdout
	Pprof             bool          // serve /debug/pprof to operators
}

var (
	traceExporters   = toucantrace.Exporters
	logLevels        = []string{"debug", "info", "warn", "error"}
	selectorPolicies = []string{"random", "balanced"}
)

// addFlags defines the flags with their default values.
func (s *Settings) addFlags(f *pflag.FlagSet) {
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
	f.StringVar(&s.TraceExporter, "trace", "none", "exporter of traces: "+strings.Join(traceExporters, ", "))
	f.StringVar(&s.LogLevel, "level", "info", "log level: "+strings.Join(logLevels, ", "))
	f.StringVar(&s.SelectorPolicy, "route", "balanced", "selection of replicas: "+strings.Join(selectorPolicies, ", "))
	f.BoolVar(&s.Hedge, "hedge", true, "hedge slow legs")
	f.BoolVar(&s.Report, "report", false, "print one JSON line with the listening addresses to stdout")
	f.BoolVar(&s.Pprof, "pprof", false, "serve /debug/pprof to operators")
}

// envVariable returns the name of a flag's environment variable.
func envVariable(flag string) string { return envPrefix + strings.ToUpper(flag) }

// applyEnvironment sets the flags that are not on the command line from their
// environment variables. It returns the first error.
func applyEnvironment(f *pflag.FlagSet) error {
	var firstErr error
	f.VisitAll(func(flag *pflag.Flag) {
		value, ok := os.LookupEnv(envVariable(flag.Name))
		if !ok || flag.Changed || firstErr != nil {
			return
		}
		if err := f.Set(flag.Name, value); err != nil {
			firstErr = typeError(flag, value, err)
		}
	})
	return firstErr
}

// typeError returns the error for a value that does not have the flag's type.
func typeError(flag *pflag.Flag, value string, cause error) error {
	allowed := map[string]string{
		"bool":     "true or false",
		"int":      "a whole number",
		"duration": "a duration such as 500ms or 2s",
	}[flag.Value.Type()]
	if allowed == "" {
		allowed = flag.Usage
	}
	return invalidFlag(flag.Name, value, allowed).Because(cause)
}

// validate returns an error for the first invalid value.
func (s *Settings) validate() error {
	for _, check := range []struct {
		flag, value, allowed string
		ok                   bool
	}{
		{"name", s.Name, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameBytes), isName(s.Name)},
		{"zone", s.Zone, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameBytes), isName(s.Zone)},
		{"callers", s.CallerAddress, "an IP address and port such as 127.0.0.1:8080", isAddrPort(s.CallerAddress)},
		{"peers", s.PeerAddress, "an IP address and port such as 127.0.0.1:0", isAddrPort(s.PeerAddress)},
		{"ops", s.OpsAddress, "an IP address and port such as 127.0.0.1:0", isAddrPort(s.OpsAddress)},
		{"advertise", s.AdvertisedAddress, "an IP address and port that other hosts can reach, not 0.0.0.0 and not port 0; needed when --peers listens on all addresses", s.hasAdvertisableAddress()},
		{"source", s.SourceAddress, "an IP address of this machine, or nothing", s.SourceAddress == "" || isSourceIP(s.SourceAddress)},
		{"store", s.StoreAddress, "an IP address and port, or nothing", s.StoreAddress == "" || isReachableAddrPort(s.StoreAddress)},
		{"beat", s.HeartbeatInterval.String(), durationRange(minHeartbeatInterval, maxHeartbeatInterval), s.HeartbeatInterval >= minHeartbeatInterval && s.HeartbeatInterval <= maxHeartbeatInterval},
		{"inflight", fmt.Sprint(s.MaxInFlight), fmt.Sprint("1 to ", maxInFlight), s.MaxInFlight >= 1 && s.MaxInFlight <= maxInFlight},
		{"linger", s.Linger.String(), durationRange(0, maxShutdownDuration), s.Linger >= 0 && s.Linger <= maxShutdownDuration},
		{"grace", s.Grace.String(), "more than --linger and at most " + maxShutdownDuration.String(), s.Grace > s.Linger && s.Grace <= maxShutdownDuration},
		{"claims", fmt.Sprint(s.ClaimWriteRate), fmt.Sprint("0 to ", maxClaimWriteRate), s.ClaimWriteRate >= 0 && s.ClaimWriteRate <= maxClaimWriteRate},
		{"trace", s.TraceExporter, strings.Join(traceExporters, ", "), slices.Contains(traceExporters, s.TraceExporter)},
		{"level", s.LogLevel, strings.Join(logLevels, ", "), slices.Contains(logLevels, s.LogLevel)},
		{"route", s.SelectorPolicy, strings.Join(selectorPolicies, ", "), slices.Contains(selectorPolicies, s.SelectorPolicy)},
	} {
		if !check.ok {
			return invalidFlag(check.flag, check.value, check.allowed)
		}
	}
	for _, seed := range s.SeedAddresses {
		if !isReachableAddrPort(seed) {
			return invalidFlag("seeds", seed, "IP addresses and ports separated by commas")
		}
	}
	return nil
}

// zapLevel returns the log level, or info if the name is unknown.
func (s *Settings) zapLevel() zapcore.Level {
	l, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}

// hasAdvertisableAddress reports whether other hosts can connect to the advertised
// address or, without one, to the listen address. It accepts a malformed listen address,
// which validate reports for --peers.
func (s *Settings) hasAdvertisableAddress() bool {
	if s.AdvertisedAddress == "" {
		a, err := netip.ParseAddrPort(s.PeerAddress)
		return err != nil || !a.Addr().IsUnspecified()
	}
	return isReachableAddrPort(s.AdvertisedAddress)
}

func isName(s string) bool {
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return s != "" && len(s) <= maxNameBytes
}

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isReachableAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func isSourceIP(s string) bool {
	a, err := netip.ParseAddr(s)
	return err == nil && !a.IsUnspecified()
}

func durationRange(low, high time.Duration) string { return fmt.Sprintf("%s to %s", low, high) }

// invalidFlag returns the error for a value that is not allowed.
func invalidFlag(flag, value, allowed string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
		fmt.Sprintf("--%s (%s): %q is not allowed; allowed: %s", flag, envVariable(flag), value, allowed))
}
