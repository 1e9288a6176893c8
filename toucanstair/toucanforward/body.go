package toucanforward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"toucanstair.example/toucanstair/toucanquota"
)

const (
	// bodyReadTimeout limits the reading of a request body.
	bodyReadTimeout = 5 * time.Second
	// lingerTimeout limits how long the rest of a body may arrive after the response.
	lingerTimeout = 2 * time.Second
	// maxBodyBytes bounds a request body, also where the operators set a higher limit or
	// none.
	maxBodyBytes = 8 << 20
)

// errNoMemory means that the requests and responses in memory have reached the limit.
var errNoMemory error = memoryError{}

type memoryError struct{}

func (memoryError) Error() string {
	return "the host has no memory left for the body of the request"
}

// reservingReader reads a request body and reserves memory for what it has read.
type reservingReader struct {
	quota    *toucanquota.Quota // nil: no limit
	body     io.Reader
	reserved int64
}

func (r *reservingReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n == 0 || r.quota == nil {
		return n, err
	}
	if !r.quota.TryReserve(int64(n)) {
		return 0, errNoMemory
	}
	r.reserved += int64(n)
	return n, err
}

func (r *reservingReader) release() {
	if r.quota != nil {
		r.quota.Release(r.reserved)
	}
}

// readBody reads a request body of at most maxBytes, or maxBodyBytes if that is less
// or maxBytes is 0. On failure it returns the status of the response and the error.
func (r *reservingReader) readBody(w http.ResponseWriter, request *http.Request, maxBytes int64) ([]byte, int, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return nil, 0, nil
	}
	if maxBytes <= 0 || maxBytes > maxBodyBytes {
		maxBytes = maxBodyBytes
	}
	r.body = http.MaxBytesReader(w, request.Body, maxBytes)
	controller := http.NewResponseController(w)
	// Only connections in tests don't support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(r)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return nil, http.StatusBadRequest, err
	}
	return body, 0, nil
}

// drainBody sends the response to a request whose body was not read to its end, and then
// reads the rest, so that the connection can be kept. If the rest does not come within
// lingerTimeout, drainBody closes the connection. The response needs a Content-Length.
func drainBody(w http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.Flush() // a failure ends the reads below as well
	end := time.Now().Add(lingerTimeout)
	_ = controller.SetReadDeadline(end)
	if _, err := io.Copy(io.Discard, request.Body); err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return
	}
	// net/http would take what follows for the next request.
	conn, _, err := controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// Closing a connection with unread data resets it, and the caller may lose the response.
	if conn.SetReadDeadline(end) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
	_ = conn.Close()
}
