package relayer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/framer"
	"wisteriadrum/refuser"
	"wisteriadrum/relayer"
	"wisteriadrum/requester"
	"wisteriadrum/router"
)

// A resumed stream may repeat events. Only events that the caller does not have
// yet are relayed.
func TestFreshEvents(t *testing.T) {
	for name, test := range map[string]struct {
		data, last string
		want       string
		newest     string
	}{
		"first":                   {"id: 1\ndata: a\n\n", "", "id: 1\ndata: a\n\n", "1"},
		"known":                   {"id: 1\ndata: a\n\n", "1", "", "1"},
		"first event known":       {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "1", "id: 2\ndata: b\n\n", "2"},
		"ids compared as numbers": {"id: 10\ndata: a\n\n", "2", "id: 10\ndata: a\n\n", "10"},
		"without id":              {"data: a\n\n", "1", "data: a\n\n", "1"},
		"carriage returns":        {"id:3\r\ndata: a\r\n\r\n", "2", "id:3\r\ndata: a\r\n\r\n", "3"},
		"id after data":           {"data: a\nid: 4\n\n", "4", "", "4"},
	} {
		t.Run(name, func(t *testing.T) {
			data, newest := relayer.EventsAfter([]byte(test.data), test.last)
			assert.Equal(t, string(data), test.want)
			assert.Equal(t, newest, test.newest)
		})
	}
}

func TestWholeEvents(t *testing.T) {
	for text, want := range map[string]int{"": 0, "id: 1\n": 0, "a\n\n": 3, "a\n\nb": 3, "a\n\nb\n\n": 6, "a\r\n\r\nb\r\n": 5} {
		assert.Equal(t, relayer.CompleteEventsLength([]byte(text)), want, "%q", text)
	}
}

// Guards against searching a long event again for each piece of it, which kept its
// request until the deadline.
func TestLongEventInPieces(t *testing.T) {
	const piece = "data: more\n"
	startedAt := time.Now()
	var pending []byte
	for len(pending) < 1<<20 {
		assert.Assert(t, time.Since(startedAt) < 10*time.Second, "after %d bytes", len(pending))
		var complete int
		pending, complete = relayer.AppendEvents(pending, []byte(piece))
		assert.Equal(t, complete, 0)
	}
	whole, complete := relayer.AppendEvents(pending, []byte("\ndata: next"))
	assert.Equal(t, complete, len(pending)+1)
	assert.Equal(t, len(whole), complete+len("data: next"))
}

// The end of an event must be found wherever the bytes of the stream are divided.
func TestDividedEvents(t *testing.T) {
	for _, text := range []string{"a\n\nb\n\nc", "a\r\n\r\nb\r\n\r\nc", "a\n\nb\r\n\r\n"} {
		want := relayer.CompleteEventsLength([]byte(text))
		for at := range len(text) + 1 {
			pending, first := relayer.AppendEvents(nil, []byte(text[:at]))
			_, second := relayer.AppendEvents(pending[first:], []byte(text[at:]))
			assert.Equal(t, first+second, want, "%q divided at %d", text, at)
		}
	}
}

// A request is authorized by its route and key. It keeps its pool when the
// configuration changes, unless its route no longer leads there.
func TestIdentify(t *testing.T) {
	route := func(service string) router.Route {
		return router.Route{Host: "h", Prefix: "/a/", Splits: []router.Split{{Pool: service, Weight: 1}}}
	}
	keys := map[string]router.Workspace{"k": {Name: "w"}}
	table := func(version int64, service string) *router.Table {
		return router.New(version, []router.Route{route(service)}, []router.Pool{{Name: "p"}, {Name: "q"}}, nil, keys, router.Limits{})
	}
	request := func(path, key string) *requester.Request {
		return &requester.Request{Host: "h", Path: path, Key: key, Head: &framer.Head{Target: path}, ReceivedAt: time.Unix(1000, 0)}
	}
	for name, test := range map[string]struct {
		request *requester.Request
		table   *router.Table
		code    refuser.Code
	}{
		"allowed":          {request("/a/x", "k"), table(1, "p"), ""},
		"no configuration": {request("/a/x", "k"), nil, refuser.NoConfiguration},
		"no route":         {request("/b/x", "k"), table(1, "p"), refuser.NoRoute},
		"no key":           {request("/a/x", ""), table(1, "p"), refuser.Unauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			refusal := relayer.Resolve(test.request, test.table)
			if test.code == "" {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Equal(t, refusal.Code, test.code)
		})
	}
	rerouted := request("/a/x", "k")
	assert.Assert(t, relayer.Resolve(rerouted, table(1, "p")) == nil)
	assert.Equal(t, rerouted.Pool.Name, "p")
	assert.Assert(t, relayer.Resolve(rerouted, table(2, "q")) == nil)
	assert.Equal(t, rerouted.Pool.Name, "q")
	assert.Equal(t, rerouted.ConfigVersion, int64(2))
}
