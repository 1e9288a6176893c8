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

// Replies of ledgers and metrics grow with the deployment.
const replyLimit = 16 << 20

// Search asks a host at its callers' address. A refusal is returned as a
// *toucanfault.Error with the code and outcome that it states; without an
// answer the outcome is unknown.
func (d *Deployment) Search(ctx context.Context, callers string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	return Search(ctx, d.client, callers, q)
}

// Search is Deployment.Search with a client of the caller's choice.
func Search(ctx context.Context, client *http.Client, callers string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, broken("query", err)
	}
	status, b, err := send(ctx, client, http.MethodPost, callers, "/v1/search", body)
	if err != nil {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "host "+callers).Because(err)
	}
	if status != http.StatusOK {
		return nil, refusal(status, b)
	}
	// protojson takes 64-bit numbers both as numbers and as text.
	a := &toucanpb.Answer{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, a); err != nil {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, fmt.Sprintf("answer %q", b)).Because(err)
	}
	return a, nil
}

func refusal(status int, b []byte) error {
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

// Ledger returns the ledgers of all running target processes in one.
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
			return nil, broken("ledger of "+t.Process.Name(), err)
		}
		for id, r := range l.Replicas {
			all[id] = r
		}
	}
	return all, nil
}

// SetBehavior changes the behaviour of a replica; change is encoded as JSON.
func (d *Deployment) SetBehavior(ctx context.Context, replica string, change any) error {
	for _, t := range d.Targets {
		if t.Replicas[replica] != "" {
			return d.Put(ctx, t.Admin, "/admin/replica/"+replica, change)
		}
	}
	return toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "replica "+replica)
}

// Metrics returns the sums of the hosts' metrics by name without labels.
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

// AddMetrics adds the values of a text exposition to sums, by metric name.
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

// Get returns the body of a reply with status 200.
func (d *Deployment) Get(ctx context.Context, address, path string) ([]byte, error) {
	return Get(ctx, d.client, address, path)
}

// Get is Deployment.Get with a client of the caller's choice.
func Get(ctx context.Context, client *http.Client, address, path string) ([]byte, error) {
	return expect(ctx, client, http.MethodGet, address, path, nil)
}

// Put sends body as JSON and expects status 200.
func (d *Deployment) Put(ctx context.Context, address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return broken(path, err)
	}
	_, err = expect(ctx, d.client, http.MethodPut, address, path, b)
	return err
}

func expect(ctx context.Context, client *http.Client, method, address, path string, body []byte) ([]byte, error) {
	status, b, err := send(ctx, client, method, address, path, body)
	if err != nil {
		return nil, broken(method+" "+path, err)
	}
	if status != http.StatusOK {
		return b, &toucanfault.Error{
			Code:   toucanpb.Code_CODE_FAILED,
			Detail: fmt.Sprintf("%s %s: status %d: %s", method, path, status, b),
		}
	}
	return b, nil
}

func send(ctx context.Context, client *http.Client, method, address, path string, body []byte) (int, []byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	p, err := client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, replyLimit))
	return p.StatusCode, b, err
}
