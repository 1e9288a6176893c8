// Package toucanfit fits lines and powers to the figures of Go benchmarks
// that ran at several sizes.
package toucanfit

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// Series is one figure of a benchmark at several sizes.
type Series struct {
	Name, Unit string
	Sizes      []float64
	Values     []float64
}

// The size of a run is the last number in its name, before the suffix that
// names the processors.
var sized = regexp.MustCompile(`^(Benchmark.*?[/=])(\d+)(-\d+)?$`)

// Read takes the figures from the output of "go test -bench", sorted by name
// and unit. Repeated runs of one size are separate points.
func Read(r io.Reader) ([]*Series, error) {
	found := map[string]*Series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 {
			continue
		}
		name := sized.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		size, err := strconv.ParseFloat(name[2], 64)
		if err != nil {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "size in "+fields[0]).Because(err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "figure in "+lines.Text()).Because(err)
			}
			key := name[1] + " " + fields[i+1]
			if found[key] == nil {
				found[key] = &Series{Name: name[1], Unit: fields[i+1]}
			}
			found[key].Sizes = append(found[key].Sizes, size)
			found[key].Values = append(found[key].Values, v)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "benchmark output").Because(err)
	}
	var out []*Series
	for _, s := range found {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Unit, b.Unit))
	})
	return out, nil
}

// FitLine returns the least squares line and its coefficient of determination.
func (s *Series) FitLine() (intercept, slope, r2 float64) {
	return regress(s.Sizes, s.Values)
}

func regress(x, y []float64) (intercept, slope, r2 float64) {
	n := float64(len(x))
	var mx, my float64
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	var xx, xy, yy float64
	for i := range x {
		xx, xy, yy = xx+(x[i]-mx)*(x[i]-mx), xy+(x[i]-mx)*(y[i]-my), yy+(y[i]-my)*(y[i]-my)
	}
	if xx == 0 || yy == 0 {
		return my, 0, 1
	}
	slope = xy / xx
	return my - slope*mx, slope, xy * xy / (xx * yy)
}

// FitPowerLaw returns factor and exponent of factor*size^exponent, fitted to the
// logarithms, and false when a value is not positive.
func (s *Series) FitPowerLaw() (factor, exponent float64, ok bool) {
	x, y := make([]float64, len(s.Sizes)), make([]float64, len(s.Sizes))
	for i := range s.Sizes {
		if s.Sizes[i] <= 0 || s.Values[i] <= 0 {
			return 0, 0, false
		}
		x[i], y[i] = math.Log(s.Sizes[i]), math.Log(s.Values[i])
	}
	a, b, _ := regress(x, y)
	return math.Exp(a), b, true
}

// Write prints each fit and its value at a size, with the factor by which that
// size exceeds the largest one measured. Figures of a single size are left out.
func Write(w io.Writer, slopes []*Series, at float64) {
	for _, s := range slopes {
		if slices.Max(s.Sizes) == slices.Min(s.Sizes) {
			continue
		}
		a, b, r2 := s.FitLine()
		fmt.Fprintf(w, "%s %s: %.4g + %.4g*n (R2 %.3f), at %g: %.4g", s.Name, s.Unit, a, b, r2, at, a+b*at)
		if f, e, ok := s.FitPowerLaw(); ok {
			fmt.Fprintf(w, "; %.4g*n^%.2f, at %g: %.4g", f, e, at, f*math.Pow(at, e))
		}
		fmt.Fprintf(w, "; extended %.2f times\n", at/slices.Max(s.Sizes))
	}
}
