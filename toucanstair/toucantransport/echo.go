package toucantransport

// echo says whether a target has the id of the request in its responses of one kind.
type echo int

const (
	echoUnknown echo = iota
	echoPresent
	echoMissing
)

// responseKind is a kind of responses that a target sends either all with or all without
// the id.
type responseKind struct {
	status  int
	refusal bool
}

func (names *Headers) kind(res *Response) responseKind {
	return responseKind{res.Status, names.isRefusal(res)}
}

// echoes says whether a target has ids in its responses. Without them, a response can be
// told from a late one to another request only on a connection that has carried one
// request. The zero value knows nothing.
type echoes struct {
	known map[responseKind]echo
	// suspected is set by a response without an id that may be a late one, until a response
	// on a new connection has its id.
	suspected bool
}

// record records whether the response to the only request of a connection, or one that has
// its id, has the id.
func (e *echoes) record(k responseKind, present, newConnection bool) {
	if e.known == nil {
		e.known = make(map[responseKind]echo)
	}
	e.known[k] = echoMissing
	if present {
		e.known[k] = echoPresent
	}
	if present && newConnection {
		e.suspected = false
	}
}

// omitted reports whether connections carry one request each.
func (e *echoes) omitted() bool {
	if e.suspected {
		return true
	}
	for _, known := range e.known {
		if known == echoMissing {
			return true
		}
	}
	return false
}

// hasID reports whether the target is known to have the id in responses of a kind.
func (p *pool) hasID(k responseKind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.echoes.known[k] == echoPresent
}

func (p *pool) recordEcho(k responseKind, present, newConnection bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateEchoes(func(e *echoes) { e.record(k, present, newConnection) })
}

// suspectOmission records a response without an id that may be a late one.
func (p *pool) suspectOmission() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateEchoes(func(e *echoes) { e.suspected = true })
}

// updateEchoes applies a change and closes the idle connections if they carry no further
// request after it; the caller holds mu.
func (p *pool) updateEchoes(change func(*echoes)) {
	before := p.echoes.omitted()
	change(&p.echoes)
	if !before && p.echoes.omitted() {
		omittedIDs.Inc()
		p.closeIdle()
	}
}
