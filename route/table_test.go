package route

import "testing"

func TestFind(t *testing.T) {
	table := New(1, 0, []Queue{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/"},
	}, []Customer{{Name: "c", Keys: []string{"k"}, Guaranteed: 8}}, []Service{{Name: "s", Guarded: true}})
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
			t.Errorf("%s%s: %q, %q, %v", test.host, test.path, q.Name, rest, ok)
		}
	}
	if table.Customer("k") != "c" || table.Customer("x") != "" || table.Guaranteed("c") != 8 || !table.Guarded("s") {
		t.Error("keys, guarantees or services are not found")
	}
}
