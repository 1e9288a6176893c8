package toucanpeer

import (
	"errors"
	"io"
)

// ignoreEOF returns nil for io.EOF, which marks the regular end of a stream.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
