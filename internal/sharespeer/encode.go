package sharespeer

import (
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

func encodeReport(r shares.Report) *peerpb.DemandReport {
	return &peerpb.DemandReport{
		Vm: r.VM, Service: r.Service, Sequence: r.Sequence, Demands: encodeDemands(r.Demands),
		Known: r.Known, QueueTimeUs: uint32(r.QueueTime.Microseconds()), Admitted: r.Admitted, QueueAgeMs: uint32(r.QueueAge.Milliseconds()),
	}
}

func decodeReport(in *peerpb.DemandReport) shares.Report {
	return shares.Report{
		VM: in.GetVm(), Service: in.GetService(), Sequence: in.GetSequence(), Demands: decodeDemands(in.GetDemands()),
		Known: in.GetKnown(), QueueTime: time.Duration(in.GetQueueTimeUs()) * time.Microsecond, Admitted: in.GetAdmitted(),
		QueueAge: time.Duration(in.GetQueueAgeMs()) * time.Millisecond,
	}
}

func encodeTable(t shares.Table) *peerpb.DemandTable {
	return &peerpb.DemandTable{
		Demands: encodeDemands(t.Demands), Known: t.Known, QueueTimeUs: uint32(t.QueueTime.Microseconds()), Admitted: t.Admitted,
		Daemons: uint32(t.Daemons), NextReportMs: uint32(t.NextReport.Milliseconds()), QueueAgeMs: uint32(t.QueueAge.Milliseconds()),
	}
}

func decodeTable(in *peerpb.DemandTable) shares.Table {
	return shares.Table{
		Demands: decodeDemands(in.GetDemands()), Known: in.GetKnown(), QueueTime: time.Duration(in.GetQueueTimeUs()) * time.Microsecond, Admitted: in.GetAdmitted(),
		Daemons: int(in.GetDaemons()), NextReport: time.Duration(in.GetNextReportMs()) * time.Millisecond,
		QueueAge: time.Duration(in.GetQueueAgeMs()) * time.Millisecond,
	}
}

func encodeDemands(demands []shares.Demand) []*peerpb.DemandEntry {
	out := make([]*peerpb.DemandEntry, 0, len(demands))
	for _, d := range demands {
		out = append(out, &peerpb.DemandEntry{Customer: d.Customer, Level: uint32(d.Level), RateMilli: shares.Units(d.Rate), Customers: uint32(d.Customers)})
	}
	return out
}

func decodeDemands(in []*peerpb.DemandEntry) []shares.Demand {
	out := make([]shares.Demand, 0, len(in))
	for _, d := range in {
		out = append(out, shares.Demand{Customer: d.GetCustomer(), Level: int(d.GetLevel()), Rate: shares.RateOfUnits(d.GetRateMilli()), Customers: int(d.GetCustomers())})
	}
	return out
}
