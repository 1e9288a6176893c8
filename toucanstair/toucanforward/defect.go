package toucanforward

import (
	"net/http"

	"go.uber.org/zap"

	"toucanstair.example/toucanstair/toucanpanic"
)

// trackedWriter tells whether a response has begun.
type trackedWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the response. It panics on a status that net/http can't write.
func (w *trackedWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

// Unwrap returns the underlying writer to http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// failAfterPanic responds to a request that a defect has ended, so that its caller does
// not lose a kept connection without a response. Targets may have run the request.
func (f *Forwarder) failAfterPanic(w *trackedWriter, r *http.Request, panicked *toucanpanic.Error) serveResult {
	log := &requestLog{id: r.Header.Get(f.Headers.RequestID)}
	f.Log.Error("request panicked", zap.String("request", log.id), zap.Bool("responding", w.begun),
		zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
	if w.begun {
		return callerLeft // the rest of the response is unknown
	}
	clear(w.Header())
	f.fail(w, log, http.StatusInternalServerError, "a defect in the host")
	return bodyUnread
}
