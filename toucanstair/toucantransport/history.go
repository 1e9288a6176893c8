package toucantransport

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// maxExchanges is how many requests a connection carries. It bounds the history, which
// keeps every exchange because a copy of a response may come at any later time.
const maxExchanges = 256

// hashSeed is the seed of the hashes in all histories.
var hashSeed = maphash.MakeSeed()

// history holds what a connection has carried, to tell the response to a request from
// late copies of earlier ones. The zero value is that of a new connection.
type history struct {
	requests   []uint64 // hashes of the request ids
	signatures []uint64 // hashes of the responses' signatures
	head       bool     // the requests are HEAD; a copy of their responses has no body
	mayRefuse  bool     // a response was unsigned or a refusal; a copy may refuse a later request
}

// carried reports whether the connection has carried a request with this id. A copy of
// the response to it would have the id of the same request if it were sent again.
func (h *history) carried(id string) bool {
	return slices.Contains(h.requests, maphash.String(hashSeed, id))
}

// full reports whether the connection carries no further request.
func (h *history) full() bool { return len(h.requests) >= maxExchanges }

// begin records a request that is about to be sent.
func (h *history) begin(m *Message) {
	h.requests = append(h.requests, maphash.String(hashSeed, m.ID))
	h.head = m.Method == http.MethodHead
}

// Reasons for which a response is stray.
const (
	otherID           = "other id"
	unknownID         = "unknown id"
	noID              = "no id"
	repeatedSignature = "repeated signature"
)

// strayReason returns why a response belongs to an earlier request of the connection, or
// may do so, or "" if it is the response to the request with this id. With unknownID and
// noID it may be a response to this request all the same.
func (h *history) strayReason(names Headers, id string, res *Response) string {
	echo, signature := res.Header.Get(names.RequestID), res.Header.Get(names.Signature)
	switch {
	case echo != "" && echo != id && h.carried(echo):
		return otherID
	case echo != "" && echo != id:
		return unknownID
	case signature != "" && slices.Contains(h.signatures, maphash.String(hashSeed, signature)):
		return repeatedSignature
	case echo == "" && len(h.requests) > 1:
		return noID
	}
	return ""
}

// record records a response, also a stray one.
func (h *history) record(names Headers, res *Response) {
	signature := res.Header.Get(names.Signature)
	if signature != "" {
		h.signatures = append(h.signatures, maphash.String(hashSeed, signature))
	}
	h.mayRefuse = h.mayRefuse || signature == "" || names.isRefusal(res)
}

// isRefusal reports whether a response says that the target did not run the request.
func (names *Headers) isRefusal(res *Response) bool {
	return res.Status == http.StatusMisdirectedRequest || res.Header.Get(names.NotExecuted) != ""
}
