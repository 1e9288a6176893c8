package toucanmembership

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanpb"
)

// maxViewSize limits the decompressed size of a view, in bytes. A view of 103
// members with 16 earlier views has 109 KB.
const maxViewSize = 16 << 20

// encodeView encodes a view for the store. The value is compressed because the
// earlier views repeat nearly all members: 109 KB become about 3 KB.
func encodeView(view *toucanpb.ZoneView) ([]byte, error) {
	raw, err := proto.Marshal(view)
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

// decodeView decodes a view from the store, compressed or, as earlier versions
// wrote it, not. A nil value gives an empty view.
func decodeView(value []byte) (*toucanpb.ZoneView, error) {
	view := &toucanpb.ZoneView{}
	// The gzip magic number. An uncompressed view cannot start with it: 0x1f is
	// field 3 with wire type 7, which does not exist.
	if !bytes.HasPrefix(value, []byte{0x1f, 0x8b}) {
		return view, proto.Unmarshal(value, view)
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxViewSize))
	if err != nil {
		return nil, err
	}
	return view, proto.Unmarshal(raw, view)
}
