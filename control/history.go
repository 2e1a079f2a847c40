package control

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

const (
	// parameterLimit is the query parameter for the longest list of orders.
	parameterLimit = "limit"
	// defaultOrderList is the number of orders that are listed if none is given.
	defaultOrderList = 100
)

// getOrders lists the newest kept answers to orders from this node's own copy.
func (n *Node) getOrders(w http.ResponseWriter, r *http.Request) {
	limit := defaultOrderList
	if text := r.URL.Query().Get(parameterLimit); text != "" {
		given, err := strconv.Atoi(text)
		if err != nil || given < 1 || given > orderLimit {
			writeError(w, invalid(parameterLimit, fmt.Sprintf("must be a number from 1 to %d", orderLimit)))
			return
		}
		limit = given
	}
	observed := n.observe()
	answer := api.OperationsAnswer{Serial: observed.serial, Orders: []api.OperationStatus{}}
	if observed.contents != nil {
		orders, err := newestOrders(observed.contents, limit)
		if err != nil {
			writeError(w, internalError(err))
			return
		}
		answer.Orders = orders
	}
	writeJSON(w, http.StatusOK, answer)
}

// newestOrders returns up to limit kept orders, newest first.
func newestOrders(contents *catalog.State, limit int) ([]api.OperationStatus, error) {
	orders := []api.OperationStatus{}
	err := contents.WalkOperationResults(func(id string, order catalog.OperationResult) bool {
		orders = append(orders, api.OperationStatus{
			Number:      order.Sequence,
			OperationID: id,
			Accepted:    order.Accepted,
			Version:     order.Version,
			Code:        api.Code(order.Code),
			Field:       order.Field,
			Reason:      order.Reason,
		})
		return true
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(orders, func(a, b api.OperationStatus) int { return cmp.Compare(b.Number, a.Number) })
	return orders[:min(limit, len(orders))], nil
}
