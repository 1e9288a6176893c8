package toucantransport

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"regexp"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanstair.example/toucanstair/toucanresponse"
)

const (
	// defaultSpliceWait is how long the rest of a response is waited for that may have begun
	// within a body.
	defaultSpliceWait = 100 * time.Millisecond
	// firstLetterWait takes its place after a body that ends with the first letter of a
	// response, which many bodies do.
	firstLetterWait = time.Millisecond
	// maxExaminedStarts bounds the starts of responses that are examined in a body, from the
	// last one.
	maxExaminedStarts = 16
	// maxUnframedBytes is how long the part of a page without a length is that may fill up a
	// body.
	maxUnframedBytes = 2 << 10
)

// spliceWaits counts the bodies after which the connection was watched for a moment.
var spliceWaits = metrics.NewCounter("toucan_send_body_waits_total")

// verdict says whether a body is whole.
type verdict int

const (
	whole verdict = iota
	// undecided means that it depends on what the connection sends next.
	undecided
	// spliced means that the body was broken off, and that another response, such as the
	// page of the failure, was read as the rest of it.
	spliced
)

// bodyFraming is how a response says where its body ends.
type bodyFraming int

const (
	byLength bodyFraming = iota
	byChunks             // another response is not read as a part of the body
	byClose
)

func framingOf(res *http.Response) bodyFraming {
	switch {
	case len(res.TransferEncoding) > 0:
		return byChunks
	case res.ContentLength < 0:
		return byClose
	}
	return byLength
}

// splice tells a body that was broken off and filled up with another response from a whole
// one that quotes a response. A response that was read as the rest of a body goes on behind
// it, or the connection ends there; behind a whole body nothing comes, or bytes that do not
// complete the quote.
type splice struct {
	names   Headers
	body    []byte
	framing bodyFraming
	closes  bool // the response has announced the end of the connection
	// carried reports whether the connection has carried a request id.
	carried func(id string) bool
	wait    time.Duration // for the rest of a response; 0: defaultSpliceWait
}

// isSpliced reports whether the body that was just read from a connection is spliced. It
// reads ahead on the connection, without consuming anything, only if that matters.
func (s *splice) isSpliced(c *conn) bool {
	if s.framing == byChunks {
		return false
	}
	starts := s.starts()
	if len(starts) == 0 {
		return false
	}
	if s.framing == byClose {
		return s.judge(starts, sequel{ended: true, closed: true}) == spliced
	}
	onlyLetter := len(starts) == 1 && starts[0] == len(s.body)-1
	began, waited := time.Now(), false
	defer func() { _ = c.SetReadDeadline(time.Time{}) }() // fails only on a closed connection
	for next := (sequel{}); ; {
		next.bytes = buffered(c.r)
		if v := s.judge(starts, next); v != undecided || next.ended {
			return v == spliced
		}
		if !waited {
			waited = true
			spliceWaits.Inc()
		}
		wait := cmp.Or(s.wait, defaultSpliceWait)
		if onlyLetter && len(next.bytes) == 0 {
			wait = firstLetterWait
		}
		_ = c.SetReadDeadline(began.Add(wait))
		if _, err := c.r.Peek(len(next.bytes) + 1); err != nil {
			next.ended, next.closed = true, !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// sequel is what a connection has sent behind a body.
type sequel struct {
	bytes  []byte
	ended  bool // nothing more comes in time
	closed bool // the connection has ended
}

// isCutOff reports whether there are more bytes than are read ahead, or some and then the
// end of the connection.
func (q sequel) isCutOff() bool {
	return len(q.bytes) >= readBufferBytes || len(q.bytes) > 0 && q.closed
}

// judge judges a body by what follows it.
func (s *splice) judge(starts []int, next sequel) verdict {
	v := whole
	for _, at := range starts {
		v = max(v, s.judgeStart(at, next))
	}
	return v
}

// judgeStart judges a body by one start of a response within it.
func (s *splice) judgeStart(at int, next sequel) verdict {
	inside := len(s.body) - at // bytes of the response within the body
	text := append(bytes.Clone(s.body[at:min(len(s.body), at+maxHeadBytes)]), next.bytes...)
	n, state := scanHead(text)
	switch {
	case state == noHead, n > inside && startsResponse(next.bytes):
		return whole
	case s.isOwn(text[:n]):
		return spliced
	case state == cutHead && len(next.bytes) > 0 && next.closed:
		return whole // the head is never completed
	case state == cutHead:
		return s.judgeUnfinished(next)
	}
	length, known := s.extent(at, n, next.bytes)
	switch {
	case !known && inside-n > maxUnframedBytes, known && length < inside:
		return whole
	case !known && len(next.bytes) == 0 && next.closed, known && length == inside:
		return s.judgeFit(text[:n], next)
	case !known, len(next.bytes) < length-inside:
		return s.judgeUnfinished(next)
	}
	behind := bytes.TrimLeft(next.bytes[length-inside:], "\r\n")
	if len(behind) > 0 && !startsResponse(behind) {
		return whole
	}
	return spliced
}

// judgeUnfinished judges a body by a response in it that is not complete yet.
func (s *splice) judgeUnfinished(next sequel) verdict {
	switch {
	case s.framing == byClose, next.isCutOff():
		return spliced
	case next.ended:
		return whole
	}
	return undecided
}

// judgeFit judges a body that ends with a whole response.
func (s *splice) judgeFit(head []byte, next sequel) verdict {
	switch {
	case s.framing == byClose, s.isTargets(head):
		return spliced
	case len(next.bytes) > 0, s.closes:
		return whole
	case next.closed:
		return spliced
	case next.ended:
		return whole
	}
	return undecided
}

// extent returns the length of a response from its start, whose head has n bytes, and
// whether the response tells it. The length is negative if there is no response.
func (s *splice) extent(at, n int, following []byte) (int, bool) {
	text := io.MultiReader(bytes.NewReader(s.body[at:]), bytes.NewReader(following))
	counted := &countingReader{r: text}
	r := bufio.NewReader(counted)
	res, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return -1, true
	}
	defer res.Body.Close()
	switch framingOf(res) {
	case byLength:
		return n + int(min(res.ContentLength, maxBodyBytes)), true
	case byClose:
		return 0, false
	}
	switch _, err := io.Copy(io.Discard, res.Body); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return counted.n + 1, true // the length is not known, but it goes on
	case err != nil:
		return -1, true
	}
	return counted.n - r.Buffered(), true
}

type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}

// isOwn reports whether a head has the id of a request that the connection has carried.
func (s *splice) isOwn(head []byte) bool {
	id, ok := field(head, s.names.RequestID)
	return ok && s.carried(id)
}

// isTargets reports whether a head has no id, but a signature or a refusal, which only
// targets send.
func (s *splice) isTargets(head []byte) bool {
	_, signed := field(head, s.names.Signature)
	_, refused := field(head, s.names.NotExecuted)
	_, id := field(head, s.names.RequestID)
	return !id && (signed || refused)
}

// field returns the value of a header field in a head.
func field(head []byte, name string) (string, bool) {
	if name == "" {
		return "", false
	}
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		key, value, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(key, []byte(name)) {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// statusLine matches the start of a response up to any place behind its status.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [0-9]{3}([ \r\n]|$)`)

// startsResponse reports whether text begins with a response.
func startsResponse(text []byte) bool { return statusLine.Match(text) }

// starts returns where responses may begin in the body, the last one first. Of several on
// one line only the last can be one.
func (s *splice) starts() []int {
	var out []int
	const name = toucanresponse.ProtocolName
	for n := min(len(s.body), len(name)-1); n > 0; n-- {
		if bytes.HasSuffix(s.body, []byte(name[:n])) {
			out = append(out, len(s.body)-n)
			break
		}
	}
	line := len(s.body) // end of the part of the body that is searched
	for at := bytes.LastIndex(s.body, []byte(name)); at >= 0 && len(out) < maxExaminedStarts; at = bytes.LastIndex(s.body[:at], []byte(name)) {
		if at >= line {
			continue
		}
		if isCutStatusLine(s.body[at:]) || startsResponse(s.body[at:]) {
			out = append(out, at)
			line = bytes.LastIndexByte(s.body[:at], '\n') + 1
		}
	}
	return out
}

// isCutStatusLine reports whether text is the start of a status line up to its status.
func isCutStatusLine(text []byte) bool {
	const shape = toucanresponse.ProtocolName + "0 000"
	if len(text) >= len(shape) {
		return false
	}
	for n, b := range text {
		if shape[n] == '0' && (b < '0' || b > '9') || shape[n] != '0' && shape[n] != b {
			return false
		}
	}
	return true
}

// headState is what scanHead has found.
type headState int

const (
	noHead headState = iota
	cutHead
	wholeHead
)

// headerField matches a header field up to any place behind its name; the names of fields
// begin with a letter, unlike the times in logs. cutField matches the start of a name.
var (
	headerField = regexp.MustCompile(`^[A-Za-z][-\w!#$%&'*+.^|~]*:`)
	cutField    = regexp.MustCompile(`^([A-Za-z][-\w!#$%&'*+.^|~]*)?\r?$`)
)

// scanHead returns the length of the head at the start of text, or of text if the head is
// cut off by its end.
func scanHead(text []byte) (int, headState) {
	for n, first := 0, true; ; first = false {
		line, _, ended := bytes.Cut(text[n:], []byte("\n"))
		switch {
		case first && !ended && isCutStatusLine(line):
		case first && !statusLine.Match(line):
			return 0, noHead
		case !first && ended && (len(line) == 0 || string(line) == "\r"):
			return n + len(line) + 1, wholeHead
		case !first && !headerField.Match(line) && (ended || !cutField.Match(line)):
			return 0, noHead
		}
		if !ended {
			return len(text), cutHead
		}
		n += len(line) + 1
	}
}

// buffered returns the unread bytes that can be read without waiting.
func buffered(r *bufio.Reader) []byte {
	b, _ := r.Peek(r.Buffered()) // so many can be read
	return b
}
