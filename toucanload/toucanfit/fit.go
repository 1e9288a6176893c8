// Package toucanfit fits lines and power laws to the results of Go benchmarks that
// ran at several sizes.
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

// Series holds the values of one benchmark metric at several sizes. Values[i] was
// measured at Sizes[i].
type Series struct {
	Name, Unit string
	Sizes      []float64
	Values     []float64
}

// sizedName matches the name of a benchmark that ends with a size, before the
// optional suffix with GOMAXPROCS.
var sizedName = regexp.MustCompile(`^(Benchmark.*?[/=])(\d+)(-\d+)?$`)

// Read parses the output of "go test -bench" and returns the series sorted by name
// and unit. Benchmarks without a size in their name are skipped. Repeated runs of
// one size are separate points. Errors have code CODE_INVALID.
func Read(r io.Reader) ([]*Series, error) {
	series := map[string]*Series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 {
			continue
		}
		name := sizedName.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		size, err := strconv.ParseFloat(name[2], 64)
		if err != nil {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid size in "+fields[0]).Because(err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid value in "+lines.Text()).Because(err)
			}
			key := name[1] + " " + fields[i+1]
			if series[key] == nil {
				series[key] = &Series{Name: name[1], Unit: fields[i+1]}
			}
			series[key].Sizes = append(series[key].Sizes, size)
			series[key].Values = append(series[key].Values, v)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "reading the benchmark output").Because(err)
	}
	var out []*Series
	for _, s := range series {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Unit, b.Unit))
	})
	return out, nil
}

// FitLine returns the least-squares line and its coefficient of determination.
func (s *Series) FitLine() (intercept, slope, r2 float64) {
	return linearRegression(s.Sizes, s.Values)
}

// linearRegression returns the least-squares line through the points and its
// coefficient of determination. If all x or all y are equal, it returns the
// horizontal line through the mean of y, with r2 = 1.
func linearRegression(x, y []float64) (intercept, slope, r2 float64) {
	n := float64(len(x))
	var meanX, meanY float64
	for i := range x {
		meanX, meanY = meanX+x[i]/n, meanY+y[i]/n
	}
	var sumXX, sumXY, sumYY float64
	for i := range x {
		sumXX, sumXY, sumYY = sumXX+(x[i]-meanX)*(x[i]-meanX), sumXY+(x[i]-meanX)*(y[i]-meanY), sumYY+(y[i]-meanY)*(y[i]-meanY)
	}
	if sumXX == 0 || sumYY == 0 {
		return meanY, 0, 1
	}
	slope = sumXY / sumXX
	return meanY - slope*meanX, slope, sumXY * sumXY / (sumXX * sumYY)
}

// FitPowerLaw fits factor*size^exponent by linear regression of the logarithms. It
// returns false if a size or value is not positive.
func (s *Series) FitPowerLaw() (factor, exponent float64, ok bool) {
	x, y := make([]float64, len(s.Sizes)), make([]float64, len(s.Sizes))
	for i := range s.Sizes {
		if s.Sizes[i] <= 0 || s.Values[i] <= 0 {
			return 0, 0, false
		}
		x[i], y[i] = math.Log(s.Sizes[i]), math.Log(s.Values[i])
	}
	intercept, slope, _ := linearRegression(x, y)
	return math.Exp(intercept), slope, true
}

// Write prints, for each series, both fits, their values at the size at, and the
// factor by which at exceeds the largest size measured. It skips series of a
// single size.
func Write(w io.Writer, series []*Series, at float64) {
	for _, s := range series {
		if slices.Max(s.Sizes) == slices.Min(s.Sizes) {
			continue
		}
		intercept, slope, r2 := s.FitLine()
		fmt.Fprintf(w, "%s %s: %.4g + %.4g*n (R2 %.3f), at %g: %.4g", s.Name, s.Unit, intercept, slope, r2, at, intercept+slope*at)
		if factor, exponent, ok := s.FitPowerLaw(); ok {
			fmt.Fprintf(w, "; %.4g*n^%.2f, at %g: %.4g", factor, exponent, at, factor*math.Pow(at, exponent))
		}
		fmt.Fprintf(w, "; extended %.2f times\n", at/slices.Max(s.Sizes))
	}
}
