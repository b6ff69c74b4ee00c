package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"catkinpoint/oper"
	"catkinpoint/wire"
)

// httpHandler returns the HTTP handler for callers and operators.
func (e *Entry) httpHandler() http.Handler {
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

// getHealth answers the balancer's check whether this process takes requests.
func (e *Entry) getHealth(c echo.Context) error {
	if e.shuttingDown.Load() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// getStatus describes entries and duties as this entry sees them.
func (e *Entry) getStatus(c echo.Context) error {
	v := e.view.Load()
	status := &wire.SystemStatus{
		Id:             e.opts.ID,
		Version:        e.follower.Current().Set.Version(),
		StoreReachable: e.storeReachable(time.Now()),
		Entries:        v.entries,
	}
	for _, dc := range e.dataCentres(v) {
		dutyStatus := &wire.DutyStatus{DataCentre: dc}
		if reported, ok := v.dutyStatuses[dc]; ok {
			dutyStatus = proto.CloneOf(reported)
		}
		dutyStatus.Holder, dutyStatus.Epoch = v.duties[dc].GetHolder(), v.duties[dc].GetEpoch()
		status.Duties = append(status.Duties, dutyStatus)
	}
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(status)
	if err != nil {
		return fmt.Errorf("encoding status: %w", err)
	}
	return c.JSONBlob(http.StatusOK, text)
}
