package toucanmembership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanview"
)

// Guards against an encoding that loses data, against uncompressed values of
// earlier versions that cannot be read, and against truncated values that are
// accepted.
func TestViewCodec(t *testing.T) {
	var v toucanview.View
	for i := range 40 {
		name := fmt.Sprint("host-", i%20)
		v = v.Join("sierra", &toucanpb.Member{Id: fmt.Sprint(name, "/", i), Name: name, Zone: "sierra", Address: "10.0.0.1:7000"}, nil)
	}
	value, err := encodeView(v.Proto())
	require.NoError(t, err)
	plain, err := proto.Marshal(v.Proto())
	require.NoError(t, err)
	require.Less(t, len(value), len(plain)/5)
	for _, in := range [][]byte{value, plain} {
		got, err := decodeView(in)
		require.NoError(t, err)
		require.True(t, proto.Equal(v.Proto(), got))
	}
	none, err := decodeView(nil)
	require.NoError(t, err)
	require.Zero(t, none.GetNumber())
	for n := 2; n < len(value); n++ {
		_, err = decodeView(value[:n])
		require.Error(t, err)
	}
}
