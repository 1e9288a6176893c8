package toucantransport

import (
	"bufio"
	"bytes"
	"regexp"
	"strings"

	"toucanstair.example/toucanstair/toucanresponse"
)

// cutHead matches the start of a response up to any place within its head.
var cutHead = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{0,3}|[0-9]{3} [\w ()'-]{0,40}(\n[-\w!#$%&'*+.^|~]+:[^\n]*)*(\n[-\w!#$%&'*+.^|~]*)?)$`)

// holdsResponse reports whether a body has a response of the target in it: the body was cut
// short or had no length, and the target's next response was read as the rest of it. A
// response is the target's if its head has an id, a signature or a refusal, or is cut off
// by the end of the body. unread is what the connection has sent after the body.
func holdsResponse(names Headers, body []byte, unread *bufio.Reader) bool {
	if !bytes.Contains(body, []byte(toucanresponse.ProtocolName)) {
		return endsInResponse(body, unread)
	}
	following := buffered(unread)
	if bytes.HasPrefix(following, []byte(toucanresponse.ProtocolName)) {
		following = nil
	}
	for rest := unixLines(body); ; {
		start := bytes.Index(rest, []byte(toucanresponse.ProtocolName))
		if start < 0 {
			return endsInResponse(body, unread)
		}
		rest = rest[start:]
		head, after, whole := bytes.Cut(rest, []byte("\n\n"))
		if !whole {
			head = append(bytes.Clone(head), unixLines(following)...)
			last := bytes.LastIndex(head, []byte(toucanresponse.ProtocolName))
			return names.isTargetHead(head) || cutHead.Match(head[last:]) || endsInResponse(body, unread)
		}
		if names.isTargetHead(head) {
			return true
		}
		rest = after
	}
}

// isTargetHead reports whether text has the start of a response, and after it a header that
// only targets send.
func (names *Headers) isTargetHead(text []byte) bool {
	at := toucanresponse.StatusLine.FindIndex(text)
	if at == nil {
		return false
	}
	text = bytes.ToLower(text[at[0]:])
	for _, name := range []string{names.RequestID, names.Signature, names.NotExecuted} {
		if name != "" && bytes.Contains(text, []byte("\n"+strings.ToLower(name)+":")) {
			return true
		}
	}
	return false
}

// endsInResponse reports whether the unread bytes continue a response that begins within
// the last bytes of a body.
func endsInResponse(body []byte, unread *bufio.Reader) bool {
	for n := min(len(body), len(toucanresponse.ProtocolName)-1); n > 0; n-- {
		if bytes.HasSuffix(body, []byte(toucanresponse.ProtocolName[:n])) && bytes.HasPrefix(buffered(unread), []byte(toucanresponse.ProtocolName[n:])) {
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

// unixLines returns text with line feeds as line ends.
func unixLines(text []byte) []byte { return bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")) }
