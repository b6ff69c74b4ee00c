package route

import "testing"

// Guards against calls that are sent to a queue with a shorter prefix or of
// another host, and against lost keys, guarantees or services.
func TestFind(t *testing.T) {
	table := New(1, 0, []Queue{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/"},
	}, []Customer{{Name: "c", Keys: []string{"k"}, Guaranteed: 8}}, []Service{{Name: "s", ChecksAdmission: true}})
	tests := []struct{ host, path, queue, rest string }{
		{"h", "/a/1", "short", "1"},
		{"h:80", "/a/b/1", "long", "1"},
		{"h", "/a/", "short", ""},
		{"g", "/a/1", "other", "a/1"},
		{"h", "/b/1", "", ""},
		{"x", "/a/1", "", ""},
	}
	for _, test := range tests {
		q, rest, ok := table.Find(test.host, test.path)
		if q.Name != test.queue || rest != test.rest || ok != (test.queue != "") {
			t.Errorf("%s%s: queue %q, rest %q, found %v", test.host, test.path, q.Name, rest, ok)
		}
	}
	if table.Customer("k") != "c" || table.Customer("x") != "" || table.Guaranteed("c") != 8 || !table.ChecksAdmission("s") {
		t.Error("a customer's key, its guarantee or a service's admission check is wrong")
	}
}
