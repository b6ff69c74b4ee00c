package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue takes jobs under a host and a path prefix.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int32
	MaxAttempts int32
	// SlackFactor and Target make the objective of a job: the factor times its
	// longest chain of work, and Target more.
	SlackFactor float64
	Target      time.Duration
	// Public queues need no key.
	Public bool
	// Advised queues start work only on workers that a hint service names.
	Advised bool
}

// Customer is an owner of keys.
type Customer struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that belong to the customer for
	// jobs of priority 0.
	Guaranteed int64
}

// Service is a set of workers.
type Service struct {
	Name string
	// Guarded workers reject what does not fit.
	Guarded bool
}

// Table is one version of the configuration; it does not change.
type Table struct {
	Version      int64
	MaxBodyBytes int64
	byHost       map[string][]Queue
	byKey        map[string]string
	customers    map[string]Customer
	services     map[string]Service
}

// New returns a table of the given objects.
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
		// The longest prefix is found first.
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

// Find returns the queue of a call and the rest of its path after the prefix.
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

// Customer returns the name of the customer that holds a key, or "".
func (t *Table) Customer(key string) string { return t.byKey[key] }

// Guaranteed returns the accelerators that a customer may reclaim.
func (t *Table) Guaranteed(customer string) int64 { return t.customers[customer].Guaranteed }

// Guarded tells whether the workers of a service reject what does not fit.
func (t *Table) Guarded(service string) bool { return t.services[service].Guarded }
