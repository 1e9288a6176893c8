package toucanfit

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against mixing up values of different benchmarks or units, and against
// wrong fits.
func TestReadSeparatesSeriesAndFitsThem(t *testing.T) {
	const output = `goos: linux
BenchmarkZone/move=false/members=6-10   1  99 ns/op  17.0 B/s  36 x
BenchmarkZone/move=false/members=24-10  1  99 ns/op  53.0 B/s  576 x
BenchmarkZone/move=false/members=96-10  1  99 ns/op  197.0 B/s  9216 x
BenchmarkZone/move=true/members=6-10    1  99 ns/op  1.0 B/s
PASS
`
	series, err := Read(strings.NewReader(output))
	require.NoError(t, err)
	require.Len(t, series, 5)
	require.Equal(t, "B/s", series[0].Unit)
	a, b, r2 := series[0].FitLine()
	require.InDeltaSlice(t, []float64{5, 2, 1}, []float64{a, b, r2}, 1e-9)
	factor, exponent, ok := series[2].FitPowerLaw()
	require.True(t, ok)
	require.InDeltaSlice(t, []float64{1, 2}, []float64{factor, exponent}, 1e-9)
	var text strings.Builder
	Write(&text, series[:1], 192)
	require.Equal(t, "BenchmarkZone/move=false/members= B/s: 5 + 2*n (R2 1.000), at 192: 389; 3.389*n^0.88, at 192: 353; extended 2.00 times\n", text.String())
}
