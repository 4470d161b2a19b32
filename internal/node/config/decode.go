package config

import "kestrelspread/internal/node/config/rawjson"

func decodeRoute(item ItemPath, object []byte) (*Route, error) {
	route, r := new(Route), &fieldReader{item: item}
	r.members(object, func(name, value []byte) {
		switch string(name) {
		case "name":
			r.text(name, value, &route.Name)
		case "host":
			r.text(name, value, &route.Host)
		case "pathPrefix":
			r.text(name, value, &route.PathPrefix)
		case "kind":
			r.text(name, value, (*string)(&route.Kind))
		case "timeoutMs":
			r.number(name, value, &route.TimeoutMs)
		case "targetLatencyMs":
			r.number(name, value, &route.TargetLatencyMs)
		case "priority":
			r.whole(name, value, &route.Priority)
		case "service":
			r.text(name, value, &route.Service)
		case "trafficSplit":
			route.TrafficSplit = decodeSplit(r, name, value)
		case "maxAttempts":
			r.whole(name, value, &route.MaxAttempts)
		case "public":
			r.flag(name, value, &route.Public)
		case "sticky":
			r.flag(name, value, &route.Sticky)
		case "resumable":
			r.flag(name, value, &route.Resumable)
		case "gap_aim_ms":
			r.number(name, value, &route.GapAimMs)
		}
	})
	return route, r.err
}

func decodeSplit(r *fieldReader, name, value []byte) []WeightedService {
	var split []WeightedService
	r.list(name, value, func(step pathStep, value []byte) {
		var part WeightedService
		r.object(step, value, func(name, value []byte) {
			switch string(name) {
			case "service":
				r.text(name, value, &part.Service)
			case "weight":
				r.number(name, value, &part.Weight)
			}
		})
		split = append(split, part)
	})
	return split
}

func decodeService(item ItemPath, object []byte) (*Service, error) {
	service, r := new(Service), &fieldReader{item: item}
	r.members(object, func(name, value []byte) {
		switch string(name) {
		case "name":
			r.text(name, value, &service.Name)
		case "healthCheck":
			r.text(name, value, &service.HealthCheck)
		case "maxConnections":
			r.whole(name, value, &service.MaxConnections)
		case "protocol":
			r.text(name, value, &service.Protocol)
		case "tls":
			r.flag(name, value, &service.TLS)
		case "engine":
			service.Engine = decodeEngine(r, name, value)
		case "kvStoreAddr":
			r.text(name, value, &service.KVStoreAddr)
		case "zone":
			r.text(name, value, &service.Zone)
		case "kvCapacityTokens":
			r.number(name, value, &service.KVCapacityTokens)
		case "linkMbps":
			r.number(name, value, &service.LinkMbps)
		case "maxConcurrency":
			r.whole(name, value, &service.MaxConcurrency)
		}
	})
	return service, r.err
}

func decodeEngine(r *fieldReader, name, value []byte) *Engine {
	if rawjson.IsNull(value) {
		return nil
	}
	engine := new(Engine)
	r.object(pathStep{name: string(name)}, value, func(name, value []byte) {
		switch string(name) {
		case "slots":
			r.whole(name, value, &engine.Slots)
		case "kvCapacityTokens":
			r.number(name, value, &engine.KVCapacityTokens)
		case "kvTokenBytes":
			r.number(name, value, &engine.KVTokenBytes)
		case "linkMbps":
			r.number(name, value, &engine.LinkMbps)
		case "stride":
			r.whole(name, value, &engine.Stride)
		case "maxConcurrency":
			r.whole(name, value, &engine.MaxConcurrency)
		case "models":
			engine.Models = decodeModels(r, name, value)
		}
	})
	return engine
}

func decodeModels(r *fieldReader, name, value []byte) []EngineModel {
	var models []EngineModel
	r.list(name, value, func(step pathStep, value []byte) {
		var model EngineModel
		r.object(step, value, func(name, value []byte) {
			if string(name) == "name" {
				r.text(name, value, &model.Name)
			}
		})
		models = append(models, model)
	})
	return models
}

func decodeTenant(item ItemPath, object []byte) (*Tenant, error) {
	tenant, r := new(Tenant), &fieldReader{item: item}
	r.members(object, func(name, value []byte) {
		switch string(name) {
		case "name":
			r.text(name, value, &tenant.Name)
		case "apiKeys":
			tenant.APIKeys = decodeKeys(r, name, value)
		case "priority":
			tenant.Priority = decodePriority(r, name, value)
		case "isolated":
			r.flag(name, value, &tenant.Isolated)
		}
	})
	return tenant, r.err
}

func decodePriority(r *fieldReader, name, value []byte) *int {
	if rawjson.IsNull(value) {
		return nil
	}
	priority := new(int)
	r.whole(name, value, priority)
	return priority
}

func decodeKeys(r *fieldReader, name, value []byte) []string {
	var keys []string
	r.list(name, value, func(step pathStep, value []byte) {
		if !rawjson.IsString(value) {
			r.fail("a string", step)
			return
		}
		keys = append(keys, rawjson.String(value))
	})
	return keys
}

func decodeLimits(item ItemPath, object []byte) (Limits, error) {
	var limits Limits
	r := &fieldReader{item: item}
	if rawjson.IsNull(object) {
		return limits, nil
	}
	if !rawjson.IsObject(object) {
		return limits, invalid(item.String(), "must be an object")
	}
	r.members(object, func(name, value []byte) {
		switch string(name) {
		case "maxHeaderBytes":
			r.whole(name, value, &limits.MaxHeaderBytes)
		case "maxBodyBytes":
			r.whole64(name, value, &limits.MaxBodyBytes)
		case "headerTimeoutMs":
			r.number(name, value, &limits.HeaderTimeoutMs)
		case "idleTimeoutMs":
			r.number(name, value, &limits.IdleTimeoutMs)
		}
	})
	return limits, r.err
}
