package toucanfrontend

import (
	"strings"
	"testing"

	"toucanstair.example/core/toucanpb"
)

func BenchmarkEncode(b *testing.B) {
	a := &toucanpb.Answer{Request: strings.Repeat("0", 32), Snapshot: &toucanpb.Snapshot{Index: 7, Map: 9}, Coverage: &toucanpb.Coverage{Asked: 180, Answered: 178}}
	for n := range uint32(10) {
		a.Items = append(a.Items, &toucanpb.Item{Id: "member-12345", Score: float64(n) + 0.25, Text: strings.Repeat("text ", 20)})
	}
	a.Coverage.Missing = []*toucanpb.Missing{{Shard: 3, Reason: "timeout"}, {Shard: 90, Reason: "down"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := encodeAnswer(a); err != nil {
			b.Fatal(err)
		}
	}
}
