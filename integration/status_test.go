package integration

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a /state page that toucanctl can't decode, and against a status
// that reports a host as up to date although it was not reached: every running
// host reports the newest revision, and a status of an address without a host
// fails.
func TestStatusOfHosts(t *testing.T) {
	b := newTestbed(t)
	b.start()
	var addresses string
	for _, h := range b.Hosts {
		addresses += h.Ops + ","
	}
	var status struct {
		Revision uint64 `json:"revision"`
		Hosts    []struct {
			Host     string `json:"host"`
			Revision uint64 `json:"revision"`
			View     struct {
				Members []string `json:"members"`
			} `json:"view"`
			Error string `json:"error"`
		} `json:"hosts"`
	}
	run := func(hosts string) ([]byte, error) {
		return exec.CommandContext(b.ctx, filepath.Join(b.Plan.Bin, "toucanctl"),
			"status", "--store", b.Store.Address, "--hosts", hosts, "-o", "json").Output()
	}
	out, err := run(strings.TrimSuffix(addresses, ","))
	require.NoError(t, err, string(out))
	require.NoError(t, json.Unmarshal(out, &status))
	require.Len(t, status.Hosts, len(b.Hosts))
	for _, h := range status.Hosts {
		require.Empty(t, h.Error)
		require.Equal(t, status.Revision, h.Revision, h.Host)
		require.Len(t, h.View.Members, b.Plan.Hosts, h.Host)
	}
	_, err = run("127.0.0.1:1")
	require.Error(t, err)
}
