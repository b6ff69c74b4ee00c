package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"catkinpoint/oper"
	"catkinpoint/wire"
)

// routes is the HTTP interface for callers and operators.
func (e *Entry) routes() http.Handler {
	server := echo.New()
	server.HideBanner, server.HidePort = true, true
	server.Use(middleware.Recover())
	server.POST("/v1/jobs", e.postJob)
	server.GET("/v1/jobs/:id", e.getJob)
	server.DELETE("/v1/jobs/:id", e.deleteJob)
	server.GET("/v1/status", e.getStatus)
	oper.Mount(server.Group(""), oper.Options{
		KV:        e.opts.Store,
		Follower:  e.follower,
		Publisher: e.publisher,
		Confirmer: e,
	})
	server.GET("/metrics", echo.WrapHandler(e.meter.Handler()))
	server.GET("/healthz", e.getHealth)
	return server
}

// getHealth tells the balancer whether this process takes requests.
func (e *Entry) getHealth(c echo.Context) error {
	if e.leaving.Load() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// dutyView is one duty in the status for operators.
type dutyView struct {
	DataCentre       string `json:"data_centre"`
	Holder           string `json:"holder"`
	Epoch            int64  `json:"epoch"`
	Ready            bool   `json:"ready"`
	Workers          int32  `json:"workers"`
	Accelerators     int32  `json:"accelerators"`
	FreeAccelerators int32  `json:"free_accelerators"`
	Queued           int32  `json:"queued"`
	Running          int32  `json:"running"`
	AgentVersion     int64  `json:"lowest_agent_version"`
}

// getStatus describes entries and duties as this entry sees them.
func (e *Entry) getStatus(c echo.Context) error {
	v := e.view.Load()
	body := struct {
		ID             string     `json:"id"`
		Version        int64      `json:"version"`
		StoreReachable bool       `json:"store_reachable"`
		Entries        []string   `json:"entries"`
		Duties         []dutyView `json:"duties"`
	}{
		ID:             e.opts.ID,
		Version:        e.follower.Current().Set.Version(),
		StoreReachable: e.storeReachable(time.Now()),
		Entries:        []string{},
		Duties:         []dutyView{},
	}
	for _, registration := range v.entries {
		body.Entries = append(body.Entries, registration.GetId())
	}
	for _, dc := range e.dataCentres(v) {
		body.Duties = append(body.Duties, newDutyView(dc, v.duties[dc].Duty, v.load[dc]))
	}
	return c.JSON(http.StatusOK, body)
}

func newDutyView(dc string, d *wire.Duty, load *wire.DutyStatus) dutyView {
	return dutyView{
		DataCentre:       dc,
		Holder:           d.GetHolder(),
		Epoch:            d.GetEpoch(),
		Ready:            load.GetReady(),
		Workers:          load.GetWorkers(),
		Accelerators:     load.GetAccelerators(),
		FreeAccelerators: load.GetFreeAccelerators(),
		Queued:           load.GetQueued(),
		Running:          load.GetRunning(),
		AgentVersion:     load.GetLowestAgentVersion(),
	}
}
