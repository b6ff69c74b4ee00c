package fakekv

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// faultBody is the JSON form of Faults in the HTTP API for faults.
type faultBody struct {
	Caller          string  `json:"caller"`
	Down            bool    `json:"down"`
	SlowMS          int64   `json:"slow_ms"`
	LoseNext        int     `json:"lose_next"`
	LoseProbability float64 `json:"lose_probability"`
	LosePrefix      string  `json:"lose_prefix"`
	Seed            uint64  `json:"seed"`
}

// FaultHandler returns the handler of the HTTP API for faults: GET, PUT and DELETE
// /faults, POST /faults/lapse and GET /counts, the last two with an optional
// query parameter caller.
func (s *Server) FaultHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.faultBodies())
	})
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.ClearFaults()
		writeJSON(w, http.StatusOK, s.faultBodies())
	})
	mux.HandleFunc("POST /faults/lapse", func(w http.ResponseWriter, r *http.Request) {
		lapsed := s.LapseLeases(r.URL.Query().Get("caller"))
		writeJSON(w, http.StatusOK, map[string]int{"lapsed": lapsed})
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts(r.URL.Query().Get("caller")))
	})
	return mux
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var body faultBody
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.SetFaults(body.Caller, Faults{
		Down:            body.Down,
		Delay:           milliseconds(body.SlowMS),
		LoseNext:        body.LoseNext,
		LoseProbability: body.LoseProbability,
		LosePrefix:      body.LosePrefix,
		Seed:            body.Seed,
	})
	writeJSON(w, http.StatusOK, s.faultBodies())
}

func (s *Server) faultBodies() []faultBody {
	list := []faultBody{}
	for caller, f := range s.Faults() {
		list = append(list, faultBody{
			Caller:          caller,
			Down:            f.Down,
			SlowMS:          f.Delay.Milliseconds(),
			LoseNext:        f.LoseNext,
			LoseProbability: f.LoseProbability,
			LosePrefix:      f.LosePrefix,
			Seed:            f.Seed,
		})
	}
	slices.SortFunc(list, func(a, b faultBody) int { return strings.Compare(a.Caller, b.Caller) })
	return list
}
