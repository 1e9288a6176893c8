package toucanpeer

import (
	"errors"
	"io"
)

// atEnd returns nil for the regular end of a stream.
func atEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
