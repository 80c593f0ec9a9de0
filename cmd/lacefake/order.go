package main

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"lacewinghook.example/lacewinghook/trial"
)

// tryOrder sends one order to two entries, one after the other: it must run
// once, and both must give the same answer.
func tryOrder(ctx context.Context, s *trial.Set) (string, error) {
	const key = "try-order"
	for i := range 2 {
		seen, err := callService(ctx, s.Client(i), http.MethodPost, "/orders", key)
		if err != nil {
			return "", err
		}
		if seen != "run 1 of /orders" {
			return "", errors.Errorf("entry %d: %s", i+1, seen)
		}
	}
	if n := s.Services[0].Runs()[key]; n != 1 {
		return "", errors.Errorf("the order ran %d times", n)
	}
	return "ran once, answered by both entries", nil
}
