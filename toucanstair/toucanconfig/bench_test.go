package toucanconfig

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
)

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAcceptOneChangedFile measures the activation of a revision in which
// one file changed. The CPU time includes hashing the files in the benchmark
// itself.
func BenchmarkAcceptOneChangedFile(b *testing.B) {
	for _, n := range []int{2342, 10000, 40000, 89000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			files := map[string]string{"00.yaml": "zones: [{name: sierra}]\nservices:\n  - {name: letters, shards: 25000, slots: 3, connections: 100, connect: 1ms, routes: [{name: find, timeout: 1s}]}\n"}
			for i := 0; i < n; i += 500 {
				var t strings.Builder
				t.WriteString("services:\n  - name: letters\n    replicas:\n")
				for j := i; j < min(i+500, n); j++ {
					fmt.Fprintf(&t, "      - {id: l%d, shard: %d, zone: sierra, address: \"10.%d.%d.%d:80\"}\n", j, j/4, j/50000, j/250%200, j%250+1)
				}
				files[fmt.Sprintf("20-%03d.yaml", i/500)] = t.String()
			}
			syncer := &Syncer{}
			var head *toucanpb.Head
			put := func(revision uint64) {
				files["10-out.yaml"] = fmt.Sprintf("# %d\nout: []\n", revision)
				head = &toucanpb.Head{Revision: revision, Change: "c"}
				blobs := map[string][]byte{}
				for name, text := range files {
					sum := toucanhead.BlobSum([]byte(text))
					head.Files = append(head.Files, &toucanpb.File{Name: name, Sum: sum})
					blobs[sum] = []byte(text)
				}
				b.StartTimer()
				require.True(b, syncer.activate(head, blobs, sourceStore))
				b.StopTimer()
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			put(1)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			b.StopTimer()
			used := processCPUTime(b)
			for i := range b.N {
				put(uint64(i) + 2)
			}
			b.ReportMetric((processCPUTime(b)-used).Seconds()*1e3/float64(b.N), "cpu-ms/op")
			// A host transfers the head and each changed file; the sizes are those for
			// a change of the file 20-000.yaml.
			raw, err := proto.Marshal(head)
			require.NoError(b, err)
			var packed bytes.Buffer
			w := gzip.NewWriter(&packed)
			_, err = w.Write(append(raw, files["20-000.yaml"]...))
			require.NoError(b, err)
			require.NoError(b, w.Close())
			b.ReportMetric(float64(len(raw)), "head-B")
			b.ReportMetric(float64(len(files["20-000.yaml"])), "file-B")
			b.ReportMetric(float64(packed.Len()), "packed-B")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "held-MB")
		})
	}
}
