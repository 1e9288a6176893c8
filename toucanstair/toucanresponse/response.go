// Package toucanresponse examines HTTP responses of targets.
package toucanresponse

import (
	"net/http"
	"regexp"
	"strings"
)

// ProtocolName is the start of each response.
const ProtocolName = "HTTP/1."

// StatusLine matches the start of a response.
var StatusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}( |$)`)

// HoldsStatusLine reports whether the head of a response was cut short and the next
// response was read as the rest of it.
func HoldsStatusLine(res *http.Response) bool {
	if StatusLine.MatchString(res.Status) {
		return true
	}
	for _, values := range res.Header {
		for _, v := range values {
			if strings.Contains(v, ProtocolName) && StatusLine.MatchString(v) {
				return true
			}
		}
	}
	return false
}
