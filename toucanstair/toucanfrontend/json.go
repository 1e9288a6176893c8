package toucanfrontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// The fields have no omitempty, so that zero values are encoded too.
type (
	query struct {
		Service string `json:"service"`
		Route   string `json:"route"`
		Query   string `json:"query"`
		Limit   uint32 `json:"limit"`
		Timeout string `json:"timeout"`
		Key     string `json:"key"`
	}
	answer struct {
		Request  string   `json:"request"`
		Snapshot snapshot `json:"snapshot"`
		Coverage coverage `json:"coverage"`
		Items    []item   `json:"items"`
	}
	snapshot struct {
		Index uint64 `json:"index"` // index version
		Map   uint64 `json:"map"`   // revision of the configuration
	}
	coverage struct {
		Asked    uint32    `json:"asked"`
		Answered uint32    `json:"answered"`
		Missing  []missing `json:"missing"`
	}
	missing struct {
		Shard  uint32 `json:"shard"`
		Reason string `json:"reason"`
	}
	item struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
		Text  string  `json:"text"`
	}
	refusal struct {
		Error failure `json:"error"`
	}
	failure struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Detail  string `json:"detail"`
		Request string `json:"request"`
	}
)

// readQuery returns the query in the body of a request, or the HTTP status and the
// failure.
func readQuery(w http.ResponseWriter, r *http.Request) (*toucanpb.Query, int, *toucanfault.Error) {
	// The error is ignored, because only the response writers of tests do not support
	// deadlines. net/http clears the deadline once the body is complete, so the query
	// itself may take longer; after a failure the deadline also limits how long net/http
	// reads the rest of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, invalidQuery(fmt.Sprintf("the body is larger than %d bytes", maxBodyBytes))
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, http.StatusRequestTimeout, toucanfault.NotRun(toucanpb.Code_CODE_TIMEOUT, fmt.Sprintf("the body did not arrive within %s", bodyTimeout))
	case err != nil:
		return nil, http.StatusBadRequest, invalidQuery("the body could not be read: " + err.Error())
	}
	q, fault := decodeQuery(body)
	return q, http.StatusBadRequest, fault
}

// decodeQuery parses a query strictly. A misspelt field or one of the wrong type would
// otherwise change the query silently.
func decodeQuery(body []byte) (*toucanpb.Query, *toucanfault.Error) {
	if !utf8.Valid(body) {
		return nil, invalidQuery("the body is not valid UTF-8")
	}
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return nil, invalidQuery("the body is not a JSON object")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var q query
	if err := d.Decode(&q); err != nil {
		return nil, invalidQuery(decodeErrorDetail(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidQuery("the body has data after the JSON object")
	}
	return &toucanpb.Query{
		Service: q.Service, Route: q.Route, Query: q.Query, Limit: q.Limit, Timeout: q.Timeout, Key: q.Key,
	}, nil
}

// decodeErrorDetail describes a JSON error in terms of the query.
func decodeErrorDetail(err error) string {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		want := "a text"
		if typeErr.Field == "limit" {
			want = "a whole number from 0 to 1000"
		}
		return fmt.Sprintf("field %q is %s, got %s", typeErr.Field, want, typeErr.Value)
	case errors.As(err, &syntaxErr):
		return fmt.Sprintf("the body is not valid JSON at byte %d: %s", syntaxErr.Offset, syntaxErr)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the body ends inside the JSON object"
	}
	return "the body is not a valid query: " + strings.TrimPrefix(err.Error(), "json: ")
}

func invalidQuery(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail)
}

func encodeAnswer(a *toucanpb.Answer) ([]byte, error) {
	out := answer{
		Request:  a.GetRequest(),
		Snapshot: snapshot{Index: a.GetSnapshot().GetIndex(), Map: a.GetSnapshot().GetMap()},
		Coverage: coverage{
			Asked:    a.GetCoverage().GetAsked(),
			Answered: a.GetCoverage().GetAnswered(),
			Missing:  make([]missing, len(a.GetCoverage().GetMissing())),
		},
		Items: make([]item, len(a.GetItems())),
	}
	for n, m := range a.GetCoverage().GetMissing() {
		out.Coverage.Missing[n] = missing{Shard: m.GetShard(), Reason: m.GetReason()}
	}
	for n, it := range a.GetItems() {
		out.Items[n] = item{ID: it.GetId(), Score: it.GetScore(), Text: it.GetText()}
	}
	return json.Marshal(out)
}

func encodeRefusal(requestID string, fault *toucanfault.Error) ([]byte, error) {
	detail := fault.Detail
	if fault.Cause != nil {
		detail += ": " + fault.Cause.Error()
	}
	return json.Marshal(refusal{failure{
		Code: toucanfault.CodeName(fault.Code), Outcome: outcomeWord(fault.Outcome), Detail: detail, Request: requestID,
	}})
}

// outcomeWord returns "notrun" for that outcome and "unknown" for all others.
func outcomeWord(o toucanpb.Outcome) string {
	if o != toucanpb.Outcome_OUTCOME_NOTRUN {
		o = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	return toucanfault.OutcomeName(o)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller cannot be reached
}
