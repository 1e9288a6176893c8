package toucanmembership

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanpb"
)

// viewLimit is the largest encoded view, in bytes; one of 103 members with 16
// earlier views has 109 KB.
const viewLimit = 16 << 20

// encodeView returns the value of a view in the store. It is compressed because
// the earlier views repeat nearly all members: 109 KB become about 3 KB.
func encodeView(z *toucanpb.ZoneView) ([]byte, error) {
	raw, err := proto.Marshal(z)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeView also reads a value that is not compressed. A nil value gives an
// empty view.
func decodeView(value []byte) (*toucanpb.ZoneView, error) {
	z := &toucanpb.ZoneView{}
	// No encoded view starts with these bytes: field 3 has no such wire type.
	if !bytes.HasPrefix(value, []byte{0x1f, 0x8b}) {
		return z, proto.Unmarshal(value, z)
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, viewLimit))
	if err != nil {
		return nil, err
	}
	return z, proto.Unmarshal(raw, z)
}
