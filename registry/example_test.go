package registry_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/registry"
)

const typeAddress = registry.FirstPrivateType

// The prerequisite of an update makes it fail if another update was applied before it.
func Example() {
	schema, err := registry.NewSchema(registry.TypeDeclaration{Type: typeAddress, Name: "ADDRESS", Singleton: true})
	if err != nil {
		fmt.Println(err)
		return
	}
	soa := registry.SOA{Primary: "control-1", Serial: 1}
	table, err := registry.New("example.", schema, soa, []string{"control-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	first := registry.Record{Name: "printer.example.", Type: typeAddress, Data: []byte("10.0.0.7")}
	claim := registry.NewUpdate("example.",
		[]registry.Record{registry.NotInUse(first.Name)},
		[]registry.Record{registry.Add(first)})

	fmt.Println(table.Apply(&claim, nil).Code, table.Serial())
	fmt.Println(table.Apply(&claim, nil).Code, table.Serial())
	for _, record := range table.View().Lookup("PRINTER.example", typeAddress) {
		fmt.Println(record.Name, string(record.Data))
	}
	secondary := registry.NewSecondary("example.", schema)
	if err := secondary.ApplyTransfer(table.TransferSince(secondary.Serial())); err != nil {
		fmt.Println(err)
	}
	fmt.Println(secondary.Serial(), secondary.View().Len())
	// Output:
	// NOERROR 2
	// YXDOMAIN 2
	// printer.example. 10.0.0.7
	// 2 3
}
