package toucandiff_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanctl/toucandiff"
)

func ExampleBetween() {
	before := &toucanpb.Rules{Revision: 3, Zones: []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Seeds: []string{"10.0.0.1:1"}}}}
	after := &toucanpb.Rules{Revision: 4, Zones: []*toucanpb.Zone{
		{Name: "costa", Out: true, Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}}, {Name: "oriente"},
	}}
	for _, c := range toucandiff.Between(before, after) {
		fmt.Println(c)
	}
	// Output:
	// + zones/costa/out: true
	// ~ zones/costa/seeds: [10.0.0.1:1] -> [10.0.0.1:1 10.0.0.2:1]
	// + zones/oriente/name: oriente
	// - zones/sierra/name: sierra
}

// Guards against a diff that reports reordered entries as changes, or fails when
// nothing has been published yet (nil).
func TestBetweenIgnoresOrderAndAcceptsNil(t *testing.T) {
	a := &toucanpb.Rules{Zones: []*toucanpb.Zone{{Name: "x"}, {Name: "y"}}}
	b := &toucanpb.Rules{Zones: []*toucanpb.Zone{{Name: "y"}, {Name: "x"}}}
	require.Empty(t, toucandiff.Between(a, b))
	require.Len(t, toucandiff.Between(nil, a), 2)
	require.Empty(t, toucandiff.Between(nil, nil))
}
