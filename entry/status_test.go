package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"catkinpoint/stand/fakekv"
)

// TestQuestionWithoutAnswerHasUnknownFate guards against the fate not_run for a job that
// may have run: the entry could not read its record, or the record has been removed.
func TestQuestionWithoutAnswerHasUnknownFate(t *testing.T) {
	tests := []struct {
		name, method, path string
		storeDown          bool
		code               int
	}{
		{"no record", http.MethodGet, "/v1/jobs/00000000000000aa", false, http.StatusNotFound},
		{"store down", http.MethodGet, "/v1/jobs/00000000000000aa", true, http.StatusServiceUnavailable},
		{"bad wait", http.MethodGet, "/v1/jobs/00000000000000aa?wait=soon", false, http.StatusBadRequest},
		{"cancelled without a record", http.MethodDelete, "/v1/jobs/00000000000000aa", false, http.StatusNotFound},
		{"cancelled while the store is down", http.MethodDelete, "/v1/jobs/00000000000000aa", true, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEntry(t, func(t *testing.T, env *testEnv) {
				if test.storeDown {
					env.store.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
				}
				answer := httptest.NewRecorder()
				env.entry.httpHandler().ServeHTTP(answer, httptest.NewRequest(test.method, test.path, nil))
				if fate := answer.Header().Get(FateHeader); answer.Code != test.code || fate != "unknown" {
					t.Errorf("answer %d with fate %q: %s; want %d with unknown", answer.Code, fate, answer.Body, test.code)
				}
			})
		})
	}
}
