package main

import (
	"context"

	"go.uber.org/zap"

	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/entry"
)

func serve(ctx context.Context, c *args.Call) int {
	file, status, ok := settingsFlag(c)
	if !ok {
		return status
	}
	settings, err := config.Read(file)
	if err != nil {
		return faults(c, err)
	}
	log, err := logger(settings.Log)
	if err != nil {
		return c.Fail(err)
	}
	e := &entry.Entry{Settings: settings, Log: log}
	ctx, stop := untilSignal(ctx, e.Hurry)
	defer stop()
	if err := e.Run(ctx); err != nil {
		log.Error("entry: failed", zap.Error(err))
		return args.ExitFail
	}
	return args.ExitOK
}

// logger returns the log of that lowest level; empty is info.
func logger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	// Sampling would drop lines that an operator looks for by request ID.
	cfg.Sampling = nil
	if level != "" {
		parsed, err := zap.ParseAtomicLevel(level)
		if err != nil {
			return nil, err
		}
		cfg.Level = parsed
	}
	return cfg.Build()
}
