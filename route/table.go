package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue accepts the jobs that are submitted under a host and a path prefix.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int32
	MaxAttempts int32
	// SlackFactor and Target determine the objective of a job, the time in which
	// it should end: SlackFactor times the length of its critical path, plus Target.
	SlackFactor float64
	Target      time.Duration
	// Public reports whether the queue accepts calls without a key.
	Public bool
	// UsesHintService reports whether the queue's jobs may start only on workers that a
	// hint service names.
	UsesHintService bool
}

// Customer holds the keys with which a customer's calls are authenticated, and
// the customer's guarantee.
type Customer struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that the customer is guaranteed
	// for jobs of priority 0.
	Guaranteed int64
}

// Service is a named set of workers.
type Service struct {
	Name string
	// ChecksAdmission reports whether the workers reject work that does not fit.
	ChecksAdmission bool
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version      int64
	MaxBodyBytes int64
	byHost       map[string][]Queue
	byKey        map[string]string
	customers    map[string]Customer
	services     map[string]Service
}

// New returns a table of the given queues, customers and services.
func New(version, maxBodyBytes int64, queues []Queue, customers []Customer, services []Service) *Table {
	t := &Table{
		Version: version, MaxBodyBytes: maxBodyBytes,
		byHost: map[string][]Queue{}, byKey: map[string]string{},
		customers: map[string]Customer{}, services: map[string]Service{},
	}
	for _, q := range queues {
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
	for _, list := range t.byHost {
		// Find takes the first match, which must be the longest prefix.
		slices.SortFunc(list, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, c := range customers {
		t.customers[c.Name] = c
		for _, key := range c.Keys {
			t.byKey[key] = c.Name
		}
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Find returns the queue of host whose prefix is the longest that path begins
// with, and the rest of path after that prefix. A port in host is ignored. Find
// reports false if there is no such queue.
func (t *Table) Find(host, path string) (Queue, string, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, q := range t.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with a name, and false if there is none.
func (t *Table) Queue(name string) (Queue, bool) {
	for _, list := range t.byHost {
		if i := slices.IndexFunc(list, func(q Queue) bool { return q.Name == name }); i >= 0 {
			return list[i], true
		}
	}
	return Queue{}, false
}

// Customer returns the name of the customer that key belongs to, or "".
func (t *Table) Customer(key string) string { return t.byKey[key] }

// Guaranteed returns the number of accelerators that a customer may reclaim by
// its guarantee.
func (t *Table) Guaranteed(customer string) int64 { return t.customers[customer].Guaranteed }

// ChecksAdmission reports whether the workers of a service reject work that does
// not fit.
func (t *Table) ChecksAdmission(service string) bool { return t.services[service].ChecksAdmission }
