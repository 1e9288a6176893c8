package toucantransport

import (
	"bufio"
	"bytes"
	"regexp"
	"strings"
)

// protocolName is the start of each response.
const protocolName = "HTTP/1."

// statusLine matches the first statusLineBytes of a response.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [0-9]{3}[ \r]`)

const statusLineBytes = len("HTTP/1.1 200 ")

// holdsResponse reports whether a body has a response of the target in it: the body was cut
// short or had no length, and the target's next response was read as the rest of it. A
// response is the target's if its head has an id or a signature. unread is what the
// connection has sent after the body.
func holdsResponse(names Headers, body []byte, unread *bufio.Reader) bool {
	rest := body
	for {
		start := bytes.Index(rest, []byte(protocolName))
		if start < 0 {
			return endsInResponse(body, unread)
		}
		rest = rest[start:]
		if len(rest) >= statusLineBytes && !statusLine.Match(rest) {
			rest = rest[len(protocolName):]
			continue
		}
		head, after, whole := bytes.Cut(rest, []byte("\r\n\r\n"))
		if following := buffered(unread); !whole && !bytes.HasPrefix(following, []byte(protocolName)) {
			following, _, _ = bytes.Cut(following, []byte("\r\n\r\n"))
			head = append(bytes.Clone(head), following...)
		}
		if !statusLine.Match(head) {
			rest = rest[len(protocolName):]
			continue
		}
		if hasHeader(head, names.RequestID) || hasHeader(head, names.Signature) {
			return true
		}
		rest = after
	}
}

// endsInResponse reports whether the unread bytes continue a response that begins within
// the last bytes of a body.
func endsInResponse(body []byte, unread *bufio.Reader) bool {
	for n := min(len(body), len(protocolName)-1); n > 0; n-- {
		if bytes.HasSuffix(body, []byte(protocolName[:n])) && bytes.HasPrefix(buffered(unread), []byte(protocolName[n:])) {
			return true
		}
	}
	return false
}

// buffered returns the unread bytes that can be read without waiting.
func buffered(r *bufio.Reader) []byte {
	b, _ := r.Peek(r.Buffered()) // so many can be read
	return b
}

// hasHeader reports whether the head of a response, which may be incomplete, has a header.
func hasHeader(head []byte, name string) bool {
	return name != "" && bytes.Contains(bytes.ToLower(head), []byte("\r\n"+strings.ToLower(name)+":"))
}
