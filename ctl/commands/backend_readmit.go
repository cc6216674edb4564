package commands

import "catkinrail.example/catkinrail/protocol/api"

func backendReadmit(a *App) {
	a.backendChange("readmit", "End the drain of a backend server, so that it takes new flows again.", api.DRPCOperatorClient.ReadmitBackendServer)
}
