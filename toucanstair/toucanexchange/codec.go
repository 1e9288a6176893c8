package toucanexchange

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// query has the fields of toucanpb.TargetQuery. Numbers are written as JSON
// numbers, which protojson would write as strings.
type query struct {
	Leg     string `json:"leg"`
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Route   string `json:"route"`
	Query   string `json:"query"`
	Limit   uint32 `json:"limit"`
	Index   uint64 `json:"index"`
}

// answer has the fields of toucanpb.TargetAnswer. json.Number also accepts
// the quoted numbers that protojson writes for 64-bit fields.
type answer struct {
	Leg   *string         `json:"leg"`
	Shard json.Number     `json:"shard"`
	Index json.Number     `json:"index"`
	Items []toucanpb.Item `json:"items"`
}

// legID names one attempt at a shard, so that a response to another attempt or
// another shard of the same query is recognized.
func legID(l *toucanpb.Leg) string {
	b := make([]byte, 0, len(l.GetQueryId())+len(l.GetReplica())+24)
	b = append(b, l.GetQueryId()...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(l.GetShard()), 10)
	b = append(b, '/')
	b = append(b, l.GetReplica()...)
	if l.GetExtra() {
		b = append(b, "/extra"...)
	}
	return string(b)
}

func encode(l *toucanpb.Leg) ([]byte, error) {
	return json.Marshal(query{
		Leg: legID(l), Service: l.GetService(), Shard: l.GetShard(), Route: l.GetRoute(),
		Query: string(l.GetQuery()), Limit: l.GetLimit(), Index: l.GetIndex(),
	})
}

// decode parses and checks a response body.
func decode(raw []byte, l *toucanpb.Leg) ([]*toucanpb.Item, error) {
	var a answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response is not the expected JSON").Because(err)
	}
	if a.Leg == nil || *a.Leg != legID(l) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response names another leg")
	}
	if !equal(a.Shard, uint64(l.GetShard())) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response names shard "+string(a.Shard))
	}
	if l.GetIndex() != 0 && !equal(a.Index, l.GetIndex()) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_VERSION, "response names index version "+string(a.Index))
	}
	if limit := int(l.GetLimit()); limit > 0 && len(a.Items) > limit {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "more items than the limit")
	}
	items := make([]*toucanpb.Item, len(a.Items))
	for i := range a.Items {
		items[i] = &a.Items[i]
	}
	return items, nil
}

// equal treats an absent number as 0, which protojson leaves out.
func equal(n json.Number, want uint64) bool {
	if n == "" {
		return want == 0
	}
	v, err := strconv.ParseUint(string(n), 10, 64)
	return err == nil && v == want
}

// status returns the failure that a response status stands for, or nil. Only
// 503 with Toucan-Refused promises that nothing ran.
func status(res *http.Response, raw []byte) error {
	switch {
	case res.StatusCode == http.StatusOK:
		return nil
	case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Toucan-Refused") == "1":
		return toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "target refused")
	case res.StatusCode == http.StatusConflict:
		return toucanfault.Unknown(toucanpb.Code_CODE_VERSION, "target does not serve the index version")
	}
	const shown = 120
	return toucanfault.Unknown(toucanpb.Code_CODE_FAILED,
		"target status "+strconv.Itoa(res.StatusCode)+" "+strings.ToValidUTF8(string(raw[:min(len(raw), shown)]), ""))
}

// malformed tells a response that is not HTTP from a broken connection.
func malformed(err error) bool {
	s := err.Error()
	return strings.Contains(s, "malformed") || strings.Contains(s, "header") || strings.Contains(s, "unsupported")
}

func headers(h http.Header) Response {
	r := Response{BootID: h.Get("Toucan-Boot"), State: h.Get("Toucan-State")}
	if n, err := strconv.ParseUint(h.Get("Toucan-Load"), 10, 31); err == nil {
		r.Load = int(n)
	}
	if v := h.Get("Toucan-Versions"); v != "" {
		for s := range strings.SplitSeq(v, ",") {
			if n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64); err == nil {
				r.IndexVersions = append(r.IndexVersions, n)
			}
		}
	}
	return r
}
