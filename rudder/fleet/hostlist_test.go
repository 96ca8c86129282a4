package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
)

// oddHosts are entries of a host list that name no host.
var oddHosts = map[string]string{
	"nested too deeply":   strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001),
	"a literal":           `{"name":"odd","price_micros_per_hour":Infinity}`,
	"price is too large":  `{"name":"odd","state":"live","address":"http://127.0.0.1:9","price_micros_per_hour":1e19}`,
	"price is negative":   `{"name":"odd","state":"live","address":"http://127.0.0.1:9","price_micros_per_hour":-1}`,
	"price is a fraction": `{"name":"odd","state":"live","address":"http://127.0.0.1:9","price_micros_per_hour":0.5}`,
	"name is absent":      `{"state":"live","address":"http://127.0.0.1:9"}`,
	"name is a number":    `{"name":5,"state":"live","address":"http://127.0.0.1:9"}`,
	"name is huge":        `{"name":"` + strings.Repeat("x", 1<<20) + `","state":"live","address":"http://127.0.0.1:9"}`,
	"state is unknown":    `{"name":"odd","state":"asleep","address":"http://127.0.0.1:9"}`,
	"address is absent":   `{"name":"odd","state":"live"}`,
	"port is 0":           `{"name":"odd","state":"live","address":"http://127.0.0.1:0"}`,
	"port is 65536":       `{"name":"odd","state":"live","address":"http://127.0.0.1:65536"}`,
	"port is negative":    `{"name":"odd","state":"live","address":"http://127.0.0.1:-1"}`,
	"port is text":        `{"name":"odd","state":"live","address":"http://127.0.0.1:x"}`,
	"no URL":              `{"name":"odd","state":"live","address":"127.0.0.1:9"}`,
	"null":                `null`,
	"text":                `"odd"`,
}

// One entry of the host list that cannot be read made the whole list unreadable, so that nodes kept hosts that were gone and
// never learnt of new ones; one with an impossible address got work.
func TestOddEntryHidesNoOtherHost(t *testing.T) {
	for name, odd := range oddHosts {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `[{"name":"first","state":"live","address":"http://127.0.0.1:1"},%s,{"name":"last","state":"live","address":"http://127.0.0.1:2"}]`, odd)
			}))
			t.Cleanup(server.Close)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // after one poll
			hosts, err := cloud.NewHostList(server.URL).Hosts(context.Background())
			if err == nil || len(err.Error()) > 500 {
				t.Errorf("error %.600v, want a short one", err)
			}
			table := NewTable()
			table.Poll(ctx, fixedHostList{hosts, err}, slog.New(slog.DiscardHandler))
			if got := joinNames(table.ServingHosts()); got != "first last " {
				t.Errorf("serving hosts: %q, want first and last", got)
			}
		})
	}
}

// fixedHostList is a host list that always gives the same result.
type fixedHostList struct {
	hosts []cloud.Host
	err   error
}

func (l fixedHostList) Hosts(context.Context) ([]cloud.Host, error) { return l.hosts, l.err }

// Guards against a log line in each second as long as an entry cannot be read.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		ctx, cancel := context.WithTimeout(context.Background(), 5*hostListPollInterval+hostListPollInterval/2)
		defer cancel()
		NewTable().Poll(ctx, fixedHostList{err: cloud.ErrUnreadableEntries}, slog.New(slog.NewTextHandler(&lines, nil)))
		if count := bytes.Count(lines.Bytes(), []byte("\n")); count != 1 {
			t.Errorf("%d log lines in six polls, want 1: %s", count, lines.String())
		}
	})
}

// One notice that cannot be read made its whole page unreadable, which was read again without end: the hosts of the other
// notices, and of all later ones, got new work until they went away.
func TestOddNoticeHidesNoOtherNotice(t *testing.T) {
	for name, odd := range map[string]string{
		"nested too deeply":  strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001),
		"a literal":          `{"host":"odd","in_ms":NaN}`,
		"time is too large":  `{"host":"odd","in_ms":1e19}`,
		"time is a fraction": `{"host":"odd","in_ms":0.5}`,
		"time is text":       `{"host":"odd","in_ms":"5"}`,
		"host is absent":     `{"in_ms":5}`,
		"host is a number":   `{"host":5,"in_ms":5}`,
		"null":               `null`,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Query().Get("from") {
				case "0":
					fmt.Fprintf(w, `{"notices":[{"host":"first","in_ms":60000},%s,{"host":"last","in_ms":60000}],"next":3}`, odd)
				case "3":
					fmt.Fprint(w, `{"notices":[{"host":"later","in_ms":60000}],"next":4}`)
				default:
					cancel()
				}
			}))
			t.Cleanup(server.Close)
			n := &NoticeDistributor{
				Table: NewTable(), Members: membership.NewTable(membership.Node{Name: "n", FailureDomain: "d"}), Records: membership.NewRecords(),
				Source: cloud.NewAPI(server.URL), Log: slog.New(slog.DiscardHandler),
			}
			n.Start()
			n.pollCloud(ctx)
			for _, host := range []string{"first", "last", "later"} {
				if _, isLeaving := n.Table.LeavingAt(host); !isLeaving {
					t.Errorf("the notice of host %s is missing", host)
				}
			}
			if _, isLeaving := n.Table.LeavingAt(""); isLeaving {
				t.Error("a notice without a host is kept")
			}
		})
	}
}
