#include "gateway/server_message.h"

#include <stdio.h>
#include <string.h>

/*
 * Fills in a message about a server: in full, or only its identity and age if
 * the receiver has the rest.
 */
void
gw_server_message_init(struct gw_server_message *message,
    const struct registry_server *server, bool only_refreshed, int64_t now_us)
{
	Clpb__Server *pb = &message->pb;

	clpb__server__init(pb);
	pb->id = (char *)server->id;
	pb->born_ms = server->born_ms;
	pb->seq = server->seq;
	pb->age_ms = (uint32_t)((now_us - server->heard_us) / 1000);
	pb->refreshed = only_refreshed;
	if (pb->refreshed)
		return;
	pb->service = (char *)server->service;
	pb->ip = server->ip;
	pb->port = server->port;
	pb->data_centre = (char *)server->data_centre;
	pb->version = (char *)server->version;
	pb->slots = server->slots;
	pb->state = server->state;
	pb->cold_ms = server->cold_ms;
	for (uint8_t i = 0; i < server->model_count; i++) {
		Clpb__Model *model = &message->models[i];

		clpb__model__init(model);
		model->name = (char *)server->models[i].name;
		model->version = server->models[i].version;
		message->model_list[i] = model;
	}
	pb->n_models = server->model_count;
	pb->models = message->model_list;
}

/*
 * Reads a server of a message.  Returns false if a name is too long, the state
 * is unknown or there are too many models.
 */
bool
gw_server_message_read(
    const Clpb__Server *pb, int64_t now_us, struct registry_server *out)
{
	memset(out, 0, sizeof(*out));
	if (strlen(pb->id) >= sizeof(out->id) ||
	    strlen(pb->service) >= sizeof(out->service) ||
	    strlen(pb->data_centre) >= sizeof(out->data_centre) ||
	    strlen(pb->version) >= sizeof(out->version) ||
	    pb->state > REGISTRY_GONE || pb->n_models > REGISTRY_MODELS_MAX)
		return false;
	memcpy(out->id, pb->id, strlen(pb->id) + 1);
	memcpy(out->service, pb->service, strlen(pb->service) + 1);
	memcpy(out->data_centre, pb->data_centre, strlen(pb->data_centre) + 1);
	memcpy(out->version, pb->version, strlen(pb->version) + 1);
	out->ip = pb->ip;
	out->port = (uint16_t)pb->port;
	out->slots = (uint16_t)pb->slots;
	out->state = (enum registry_state)pb->state;
	out->born_ms = pb->born_ms;
	out->seq = pb->seq;
	out->cold_ms = pb->cold_ms;
	out->heard_us = now_us - (int64_t)pb->age_ms * 1000;
	for (size_t i = 0; i < pb->n_models; i++) {
		struct registry_model *model = &out->models[out->model_count++];

		snprintf(model->name, sizeof(model->name), "%s",
		    pb->models[i]->name);
		model->version = pb->models[i]->version;
	}
	return true;
}
