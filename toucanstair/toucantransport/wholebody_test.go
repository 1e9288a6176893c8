package toucantransport_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// newPatientTransport returns a transport that waits for pieces of a response however late they come.
func newPatientTransport() *toucantransport.Transport {
	transport := newSignedTransport()
	toucantransport.SetSpliceWait(transport, 10*time.Second)
	return transport
}

// failurePages returns what servers send when the program behind them fails within a body: neither id nor signature.
func failurePages() map[string]string {
	return map[string]string{
		"plain":               "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 22\r\nConnection: close\r\n\r\nInternal Server Error\n",
		"old version":         "HTTP/1.0 500 Internal Server Error\r\nContent-Type: text/html\r\n\r\n<h1>Internal Server Error</h1>\n",
		"no reason":           "HTTP/1.1 502\r\nContent-Length: 4\r\n\r\nbad\n",
		"unusual reason":      "HTTP/1.1 500 Ohé! \"Störung\" <Speicher: 7/8>\r\nContent-Length: 4\r\n\r\nweg\n",
		"line feeds only":     "HTTP/1.1 500 Internal Server Error\nContent-Type: text/plain\nContent-Length: 5\n\noops\n",
		"chunked":             "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n5\r\noops\n\r\n0\r\n\r\n",
		"long":                "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("<p>failed</p>\r\n", 600),
		"date and server":     "HTTP/1.1 503 Service Unavailable\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nServer: front/2.4 (x)\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
		"short":               "HTTP/1.1 500 X\r\n\r\n",
		"status without body": "HTTP/1.1 204 No Content\r\nServer: a\r\n\r\n",
	}
}

// Guards against a body that was broken off and filled up with the page of the failure, whatever the page and the length of the gap.
func TestBrokenBodyIsNotFilledUpWithAFailurePage(t *testing.T) {
	const length = 400
	for name, page := range failurePages() {
		for _, signal := range []string{"closed at once", "in pieces"} {
			t.Run(name+", "+signal, func(t *testing.T) {
				t.Parallel()
				whole := signed("1", "s1", strings.Repeat("k", length))
				for gap := 1; gap <= 250; gap++ {
					broken := whole[:len(whole)-gap]
					pieces := []string{broken + page}
					if at := min(gap, len(page)); signal == "in pieces" {
						if gap < 2 || gap%25 != 0 || at == len(page) {
							continue // a single byte of a page can't be told from the body without waiting
						}
						pieces = []string{broken + page[:at], page[at:]}
					}
					_, err := newPatientTransport().Do(t.Context(), requestTo(sendPieces(t, pieces...), "1"), time.Second)
					require.Error(t, err, "gap of %d bytes", gap)
					require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
				}
			})
		}
	}
}

// Guards against a broken body whose rest lies in the connection beyond the buffer of its reader.
func TestLongBrokenBodyIsNotFilledUpWithAFailurePage(t *testing.T) {
	whole := signed("1", "s1", strings.Repeat("k", 60_000))
	for name, page := range failurePages() {
		t.Run(name, func(t *testing.T) {
			for gap := 5; gap < min(len(page), 120); gap += 9 {
				address := sendPieces(t, whole[:len(whole)-gap]+page)
				_, err := newPatientTransport().Do(t.Context(), requestTo(address, "1"), time.Second)
				require.Error(t, err, "gap of %d bytes", gap)
			}
		})
	}
}

// quotingBodies returns whole bodies that quote status lines, heads and pages, as a search in logs finds them.
func quotingBodies() map[string]string {
	pages := failurePages()
	return map[string]string{
		"a status line in the middle":       "04:00:01 HTTP/1.1 500 Internal Server Error\n04:00:02 next line\n",
		"a status line at the end":          "04:00:01 HTTP/1.1 500 Internal Server Error\n",
		"a status line without a line end":  "04:00:01 HTTP/1.1 500 Internal Server Error",
		"a request line at the end":         `GET /timi402/2f HTTP/1.1`,
		"a cut status line":                 "04:00:01 HTTP/1.1 50",
		"many status lines":                 strings.Repeat("HTTP/1.1 500 Internal Server Error\n", 200),
		"a head at the end":                 "log: HTTP/1.1 500 X\r\nServer: a\r\nContent-Length: 300\r\n\r\n",
		"half a head at the end":            "log: HTTP/1.1 500 X\r\nServer: a\r\nContent-Le",
		"a page in the middle":              "log: " + pages["plain"] + "and more",
		"a page at the end":                 "log: " + pages["plain"],
		"half a page at the end":            "log: " + pages["plain"][:len(pages["plain"])-9],
		"a page without a length":           "log: " + pages["old version"] + strings.Repeat("more of the log\n", 20),
		"a chunked page":                    "log: " + pages["chunked"] + "and more",
		"a response with ids":               "log: " + signed("9c41d07be2a35f68", "3e1b.07", "own") + "and more",
		"a response with ids, at the end":   "log: " + signed("9c41d07be2a35f68", "3e1b.07", "own"),
		"half a response with ids":          "log: " + signed("9c41d07be2a35f68", "3e1b.07", "own")[:60],
		"many pages":                        strings.Repeat(pages["plain"], 300),
		"many chunked pages":                strings.Repeat(pages["chunked"], 300) + "and more",
		"a refusal":                         "log: " + refusal + "and more",
		"a status line and an empty line":   "04:00:01 HTTP/1.1 500 Internal Server Error\n\n04:00:02 next line\n",
		"a folded line after a status line": "HTTP/1.1 500 Internal Server Error\n at line 7\n",
	}
}

// Guards against whole bodies that are given up because they quote a response or have stray bytes behind them.
func TestQuotingBodyIsWhole(t *testing.T) {
	for name, body := range quotingBodies() {
		for behind, stray := range map[string]string{
			"nothing": "", "other bytes": "more bytes", "a line": "garbage of a replica\r\n", "another response": signed("0", "s0", "x"), "a page": failurePages()["plain"],
		} {
			for framing, text := range map[string]string{"length": signed("1", "s1", body), "chunks": chunked("1", body)} {
				t.Run(fmt.Sprintf("%s, %s behind it, %s", name, behind, framing), func(t *testing.T) {
					t.Parallel()
					tg := listen(t, func(int, string) string { return text + stray })
					res, err := do(t, newSignedTransport(), tg, "1")
					require.NoError(t, err)
					require.Equal(t, body, string(res.Body))
				})
			}
		}
	}
}

// chunked returns a signed response whose body comes in two chunks.
func chunked(id, body string) string {
	head, _, _ := strings.Cut(without(signed(id, "s"+id, ""), "Content-Length"), "\r\n\r\n")
	chunk := func(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }
	return head + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body[:1]) + chunk(body[1:]) + "0\r\n\r\n"
}

// Guards against a whole body that delays its response because it quotes something else.
func TestQuotesInTheMiddleDoNotDelayTheBody(t *testing.T) {
	for name, body := range quotingBodies() {
		if strings.HasSuffix(name, "middle") {
			tg := listen(t, func(_ int, id string) string { return signed(id, "s"+id, body) })
			transport := newSignedTransport()
			for _, id := range strings.Split("abcdefghij", "") {
				began := time.Now()
				_, err := do(t, transport, tg, id)
				require.NoError(t, err)
				require.Less(t, time.Since(began), time.Second)
			}
			require.Equal(t, int32(1), tg.conns.Load(), "the connection is used again")
		}
	}
}

// Guards against a request whose response was consumed while the body of a late one was examined.
func TestResponseBehindAQuotingLateOneIsKept(t *testing.T) {
	body := "log: HTTP/1.1 500 Internal Server Error\r\nServer: a\r\n"
	tg := listen(t, func(nth int, id string) string {
		if nth == 1 {
			return signed(id, "s1", body)
		}
		return signed("1", "s1", body) + signed(id, "s"+id, "own "+id)
	})
	transport := newSignedTransport()
	_, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	res, err := do(t, transport, tg, "2")
	require.NoError(t, err)
	require.Equal(t, "own 2", string(res.Body))
}
