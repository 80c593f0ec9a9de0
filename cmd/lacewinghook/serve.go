package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/edge"
	"lacewinghook.example/lacewinghook/entry"
	"lacewinghook.example/lacewinghook/logs"
)

// runServe runs an entry until a stop signal. Settings with a section fleet run
// it as an edge.
func runServe(ctx context.Context, c *args.Call) int {
	// SIGHUP may come at any time, and ends a process that doesn't handle it. serveEdge
	// handles it later.
	signal.Ignore(syscall.SIGHUP)
	file, status, ok := parseSettingsFlag(c)
	if !ok {
		return status
	}
	settings, err := config.Read(file)
	if err != nil {
		return printFaults(c, err)
	}
	log, err := logs.New(os.Stdout, settings.Log)
	if err != nil {
		return c.Fail(err)
	}
	defer log.Close()
	run := serveEntry
	if settings.Fleet != nil {
		run = serveEdge
	}
	if err := run(ctx, file, settings, log.Logger); err != nil {
		log.Logger.Error("serve: failed", zap.Error(err))
		return args.ExitFail
	}
	return args.ExitOK
}

// serveEntry runs an entry. A repeated stop signal logs the requests in flight;
// the stop continues to wait for them.
func serveEntry(ctx context.Context, _ string, settings *config.Settings, log *zap.Logger) error {
	entry.LimitMemory(settings)
	e := &entry.Entry{Settings: settings, Log: log}
	ctx, stop := untilSignal(ctx, e.LogInFlight)
	defer stop()
	return e.Run(ctx)
}

// serveEdge runs an edge, which validates its settings again on SIGHUP.
func serveEdge(ctx context.Context, file string, settings *config.Settings, log *zap.Logger) error {
	e := &edge.Edge{Settings: settings, Log: log}
	ctx, stop := untilSignal(ctx, func() { log.Info("edge: already stopping") })
	defer stop()
	defer onReload(func() { checkReload(file, log) })()
	return e.Run(ctx)
}

// checkReload reads the settings file again and logs whether it is valid. It
// applies nothing: settings are fixed at startup, and everything that operators
// can change at run time is in the manifest.
func checkReload(file string, log *zap.Logger) {
	if _, err := config.Read(file); err != nil {
		log.Error("edge: changed settings are invalid", zap.String("file", file), zap.Error(err))
		return
	}
	log.Info("edge: changed settings are valid and take effect at the next start", zap.String("file", file))
}
