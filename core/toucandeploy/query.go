package toucandeploy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
)

// maxReplyBytes bounds the size of a reply in bytes. Ledgers and metrics grow
// with the deployment.
const maxReplyBytes = 16 << 20

// Search sends a query to the callers' address of a host. A refusal is returned
// as a *toucanfault.Error with the code and outcome in its body; without a
// response the outcome is unknown.
func (d *Deployment) Search(ctx context.Context, callers string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	return Search(ctx, d.client, callers, q)
}

// Search is like Deployment.Search, with the given client.
func Search(ctx context.Context, client *http.Client, callers string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, failure("encoding the query", err)
	}
	status, b, err := do(ctx, client, http.MethodPost, callers, "/v1/search", body)
	if err != nil {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "no response from host "+callers).Because(err)
	}
	if status != http.StatusOK {
		return nil, decodeRefusal(status, b)
	}
	// protojson accepts 64-bit integers as JSON numbers and as strings.
	a := &toucanpb.Answer{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, a); err != nil {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, fmt.Sprintf("decoding answer %q", b)).Because(err)
	}
	return a, nil
}

func decodeRefusal(status int, b []byte) error {
	var reply struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
			Detail  string `json:"detail"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &reply) != nil || reply.Error.Code == "" {
		return toucanfault.Unknown(toucanpb.Code_CODE_INVALID, fmt.Sprintf("status %d with body %q", status, b))
	}
	e := reply.Error
	return &toucanfault.Error{
		Code:    toucanpb.Code(toucanpb.Code_value["CODE_"+strings.ToUpper(e.Code)]),
		Outcome: toucanpb.Outcome(toucanpb.Outcome_value["OUTCOME_"+strings.ToUpper(e.Outcome)]),
		Detail:  e.Detail,
	}
}

// Ledger returns the records of all replicas of running target processes, by
// replica id.
func (d *Deployment) Ledger(ctx context.Context) (map[string]toucanspec.Record, error) {
	all := map[string]toucanspec.Record{}
	for _, t := range d.Targets {
		select {
		case <-t.Process.Exited():
			continue
		default:
		}
		b, err := d.Get(ctx, t.Admin, "/admin/ledger")
		if err != nil {
			return nil, err
		}
		var l toucanspec.Ledger
		if err := json.Unmarshal(b, &l); err != nil {
			return nil, failure("decoding the ledger of "+t.Process.Name(), err)
		}
		for id, r := range l.Replicas {
			all[id] = r
		}
	}
	return all, nil
}

// SetBehavior changes the behaviour of a replica; change is encoded as JSON and
// contains the fields of toucanspec.Replica to change.
func (d *Deployment) SetBehavior(ctx context.Context, replica string, change any) error {
	for _, t := range d.Targets {
		if t.Replicas[replica] != "" {
			return d.Put(ctx, t.Admin, "/admin/replica/"+replica, change)
		}
	}
	return toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "no process serves replica "+replica)
}

// Metrics returns the metrics of all running hosts, summed by name over hosts
// and labels.
func (d *Deployment) Metrics(ctx context.Context) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, h := range d.Hosts {
		select {
		case <-h.Process.Exited():
			continue
		default:
		}
		b, err := d.Get(ctx, h.Ops, "/metrics")
		if err != nil {
			return nil, err
		}
		AddMetrics(sums, b)
	}
	return sums, nil
}

// AddMetrics adds the values of a Prometheus text exposition to sums, by metric
// name without labels.
func AddMetrics(sums map[string]float64, text []byte) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		name, rest, _ := strings.Cut(line, " ")
		if at := strings.IndexByte(line, '{'); at >= 0 {
			name, rest = line[:at], line[strings.LastIndexByte(line, '}')+1:]
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if v, err := strconv.ParseFloat(fields[0], 64); err == nil {
			sums[name] += v
		}
	}
}

// Get returns the body of a response; a status other than 200 is an error.
func (d *Deployment) Get(ctx context.Context, address, path string) ([]byte, error) {
	return Get(ctx, d.client, address, path)
}

// Get is like Deployment.Get, with the given client.
func Get(ctx context.Context, client *http.Client, address, path string) ([]byte, error) {
	return doExpectOK(ctx, client, http.MethodGet, address, path, nil)
}

// Put sends body as JSON; a status other than 200 is an error.
func (d *Deployment) Put(ctx context.Context, address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return failure("encoding the body for "+path, err)
	}
	_, err = doExpectOK(ctx, d.client, http.MethodPut, address, path, b)
	return err
}

func doExpectOK(ctx context.Context, client *http.Client, method, address, path string, body []byte) ([]byte, error) {
	status, b, err := do(ctx, client, method, address, path, body)
	if err != nil {
		return nil, failure(method+" "+path, err)
	}
	if status != http.StatusOK {
		return b, &toucanfault.Error{
			Code:   toucanpb.Code_CODE_FAILED,
			Detail: fmt.Sprintf("%s %s: status %d: %s", method, path, status, b),
		}
	}
	return b, nil
}

func do(ctx context.Context, client *http.Client, method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	return response.StatusCode, b, err
}
