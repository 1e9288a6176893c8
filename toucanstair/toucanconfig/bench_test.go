package toucanconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
)

func BenchmarkAcceptOneChangedFile(b *testing.B) {
	for _, n := range []int{2342, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			files := map[string]string{"00.yaml": "zones: [{name: sierra}]\nservices:\n  - {name: letters, shards: 5000, slots: 3, connections: 100, connect: 1ms, routes: [{name: find, timeout: 1s}]}\n"}
			for i := 0; i < n; i += 500 {
				var t strings.Builder
				t.WriteString("services:\n  - name: letters\n    replicas:\n")
				for j := i; j < min(i+500, n); j++ {
					fmt.Fprintf(&t, "      - {id: l%d, shard: %d, zone: sierra, address: \"10.1.%d.%d:80\"}\n", j, j/4, j/250, j%250+1)
				}
				files[fmt.Sprintf("20-%03d.yaml", i/500)] = t.String()
			}
			k := &Keeper{}
			put := func(revision uint64) {
				files["10-out.yaml"] = fmt.Sprintf("# %d\nout: []\n", revision)
				head := &toucanpb.Head{Revision: revision, Change: "c"}
				blobs := map[string][]byte{}
				for name, text := range files {
					sum := toucanhead.BlobSum([]byte(text))
					head.Files = append(head.Files, &toucanpb.File{Name: name, Sum: sum})
					blobs[sum] = []byte(text)
				}
				b.StartTimer()
				require.True(b, k.put(head, blobs, fromStore))
				b.StopTimer()
			}
			put(1)
			b.ReportAllocs()
			b.ResetTimer()
			b.StopTimer()
			for i := range b.N {
				put(uint64(i) + 2)
			}
		})
	}
}
