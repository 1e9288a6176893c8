// Package toucanstatus tells the status codes of HTTP from others that a broken peer may
// send. net/http accepts any three characters that form a number, such as 000 and +20.
package toucanstatus

import "strconv"

// Code is the status code of a response.
type Code int

const (
	minInterim = 100
	minFinal   = 200
	maxFinal   = 599
	// switchingProtocols ends HTTP on a connection. No request asks for it.
	switchingProtocols = 101
)

// IsFinal reports whether a response with the code is the final one to its request.
func (c Code) IsFinal() bool { return c >= minFinal && c <= maxFinal }

// IsInterim reports whether another response follows one with the code.
func (c Code) IsInterim() bool { return c >= minInterim && c < minFinal && c != switchingProtocols }

// CheckFinal returns an error unless the code is that of a final response. What follows
// such a response on its connection is unknown, and its body may have no end.
func (c Code) CheckFinal() error {
	if c.IsFinal() {
		return nil
	}
	return invalid(c)
}

// invalid is the error of a response that is none.
type invalid Code

func (e invalid) Error() string {
	return "status " + strconv.Itoa(int(e)) + " is not that of a final response"
}
