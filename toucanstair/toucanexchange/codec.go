package toucanexchange

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanresponse"
)

// targetQuery is the request body, with the fields of toucanpb.TargetQuery. Unlike
// protojson, it encodes 64-bit numbers as JSON numbers.
type targetQuery struct {
	Leg     string `json:"leg"`
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Route   string `json:"route"`
	Query   string `json:"query"`
	Limit   uint32 `json:"limit"`
	Index   uint64 `json:"index"`
}

// targetResponse is the response body, with the fields of toucanpb.TargetAnswer.
// json.Number also accepts the quoted numbers that protojson writes for 64-bit fields.
type targetResponse struct {
	Leg   *string         `json:"leg"`
	Shard json.Number     `json:"shard"`
	Index json.Number     `json:"index"`
	Items []toucanpb.Item `json:"items"`
}

// idHeader is the response header with which a target returns the id of a leg, also in
// refusals and failures, and that of a health request, which has it as a request header.
// Targets may leave it out.
const idHeader = "Toucan-Leg"

// errNoID is the error for a response without an id on a connection that carried other
// requests.
var errNoID = toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response without an id may belong to an earlier request")

// healthID returns the id of a health request that is the nth request of a client.
func healthID(n uint64) string { return "health/" + strconv.FormatUint(n, 10) }

// legID returns the id of a leg that is the nth request of a client. The target returns it, so that
// a response to another leg is detected, also to an earlier attempt at the same replica.
// Hedged requests and retries have the suffix /extra.
func legID(l *toucanpb.Leg, n uint64) string {
	b := make([]byte, 0, len(l.GetQueryId())+len(l.GetReplica())+32)
	b = append(b, l.GetQueryId()...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(l.GetShard()), 10)
	b = append(b, '/')
	b = append(b, l.GetReplica()...)
	b = append(b, '/')
	b = strconv.AppendUint(b, n, 10)
	if l.GetExtra() {
		b = append(b, "/extra"...)
	}
	return string(b)
}

// encodeQuery returns the request body of a leg with the given id.
func encodeQuery(l *toucanpb.Leg, id string) ([]byte, error) {
	return json.Marshal(targetQuery{
		Leg: id, Service: l.GetService(), Shard: l.GetShard(), Route: l.GetRoute(),
		Query: string(l.GetQuery()), Limit: l.GetLimit(), Index: l.GetIndex(),
	})
}

// hasID reports whether a response has the given id. It returns an error if it has another
// id, or a part of another response in its head.
func hasID(res *http.Response, id string) (bool, error) {
	if toucanresponse.HoldsStatusLine(res) {
		return false, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response has a part of another one in its head")
	}
	ids := res.Header.Values(idHeader)
	for _, got := range ids {
		if got != id {
			return false, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response has the id of another request")
		}
	}
	return len(ids) > 0, nil
}

// decodeResponse parses a response body and checks that it belongs to the leg with the
// given id. A leg with index version 0 accepts any version.
func decodeResponse(body []byte, l *toucanpb.Leg, id string) ([]*toucanpb.Item, error) {
	var response targetResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response body is not the expected JSON").Because(err)
	}
	if response.Leg == nil || *response.Leg != id {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response has the id of another leg")
	}
	if !equalNumber(response.Shard, uint64(l.GetShard())) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response is for shard "+string(response.Shard))
	}
	if l.GetIndex() != 0 && !equalNumber(response.Index, l.GetIndex()) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_VERSION, "response is for index version "+string(response.Index))
	}
	if limit := int(l.GetLimit()); limit > 0 && len(response.Items) > limit {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response has more items than the limit")
	}
	items := make([]*toucanpb.Item, len(response.Items))
	for i := range response.Items {
		items[i] = &response.Items[i]
	}
	return items, nil
}

// equalNumber compares a JSON number with want. An absent number counts as 0, because
// protojson omits zeros.
func equalNumber(n json.Number, want uint64) bool {
	if n == "" {
		return want == 0
	}
	v, err := strconv.ParseUint(string(n), 10, 64)
	return err == nil && v == want
}

// statusError returns the error for a response status, or nil for 200. The outcome is
// notrun only for 503 with Toucan-Refused, by which a target states that nothing ran.
func statusError(httpResponse *http.Response, body []byte) error {
	switch {
	case httpResponse.StatusCode == http.StatusOK:
		return nil
	case httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get("Toucan-Refused") == "1":
		return toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "target refused")
	case httpResponse.StatusCode == http.StatusConflict:
		return toucanfault.Unknown(toucanpb.Code_CODE_VERSION, "target does not serve the index version")
	}
	const maxShownBytes = 120
	return toucanfault.Unknown(toucanpb.Code_CODE_FAILED,
		"target status "+strconv.Itoa(httpResponse.StatusCode)+" "+strings.ToValidUTF8(string(body[:min(len(body), maxShownBytes)]), ""))
}

// isMalformedResponse reports whether an error of net/http stands for a response that
// is not valid HTTP, rather than for a broken connection. net/http has no error types
// for this.
func isMalformedResponse(err error) bool {
	s := err.Error()
	return strings.Contains(s, "malformed") || strings.Contains(s, "header") || strings.Contains(s, "unsupported")
}

// parseHeaders returns the fields of a response that the target reports in headers.
// Missing and invalid headers are ignored.
func parseHeaders(h http.Header) Response {
	response := Response{BootID: h.Get("Toucan-Boot"), State: h.Get("Toucan-State")}
	if n, err := strconv.ParseUint(h.Get("Toucan-Load"), 10, 31); err == nil {
		response.Load = int(n)
	}
	if v := h.Get("Toucan-Versions"); v != "" {
		for s := range strings.SplitSeq(v, ",") {
			if n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64); err == nil {
				response.IndexVersions = append(response.IndexVersions, n)
			}
		}
	}
	return response
}
