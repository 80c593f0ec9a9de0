package main

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/trial"
)

// tryOrder sends the same order to two entries in turn. It must run once, and
// both entries must return the same answer.
func tryOrder(ctx context.Context, s *trial.Cluster) (string, error) {
	const key = "try-order"
	for i := range 2 {
		result, err := callService(ctx, s.Client(i), http.MethodPost, "/orders", key)
		if err != nil {
			return "", err
		}
		if result != "run 1 of /orders" {
			return "", errors.Errorf("entry %d: %s", i+1, result)
		}
	}
	if n := s.Services[0].Runs()[key]; n != 1 {
		return "", errors.Errorf("the order ran %d times", n)
	}
	return "ran once, answered by both entries", nil
}
