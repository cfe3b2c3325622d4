#include "route/pool_index.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "route/pool_i.h"

enum {
	MEMBERS_MIN = 16
};

/* Creates an index of no servers. */
struct pool_index *
pool_index_new(const struct alloc *alloc)
{
	struct pool_index *index = alloc_zero(alloc, 1, sizeof(*index));

	index->alloc = alloc;
	slot_index_init(&index->ids, alloc);
	slot_index_init(&index->lives, alloc);
	slot_index_init(&index->addresses, alloc);
	slot_index_init(&index->load_hashes, alloc);
	slot_index_init(&index->group_names, alloc);
	return index;
}

static void
init_group(struct pool_group *group, const struct alloc *alloc)
{
	for (int i = 0; i < POOL_ROLES; i++) {
		sorted_keys_init(&group->may_run[i], alloc);
		sorted_keys_init(&group->latencies[i], alloc);
	}
	sorted_keys_init(&group->pauses, alloc);
	sorted_keys_init(&group->brittle[0], alloc);
	sorted_keys_init(&group->brittle[1], alloc);
}

static void
free_group(const struct alloc *alloc, struct pool_group *group)
{
	for (int i = 0; i < POOL_ROLES; i++) {
		sorted_keys_release(&group->may_run[i]);
		sorted_keys_release(&group->latencies[i]);
	}
	sorted_keys_release(&group->pauses);
	sorted_keys_release(&group->brittle[0]);
	sorted_keys_release(&group->brittle[1]);
	alloc_free(alloc, group->members);
	alloc_free(alloc, group);
}

/* Releases an index. */
void
pool_index_free(struct pool_index *index)
{
	for (uint16_t i = 0; i < index->group_count; i++)
		free_group(index->alloc, index->groups[i]);
	alloc_free(index->alloc, index->groups);
	slot_index_release(&index->ids);
	slot_index_release(&index->lives);
	slot_index_release(&index->addresses);
	slot_index_release(&index->load_hashes);
	slot_index_release(&index->group_names);
	alloc_free(index->alloc, index);
}

static uint64_t
hash_of(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static uint64_t
address_key(const struct sockaddr_in *address)
{
	return (uint64_t)address->sin_addr.s_addr << 16 | address->sin_port;
}

/* Returns a server of the pool, and counts that it was looked at. */
static struct pool_server *
visit(const struct server_pool *pool, uint16_t server)
{
	pool->index->visits++;
	return &pool->servers[server];
}

/* Returns the index of the server in use with an id, or ROUTE_NONE. */
uint16_t
pool_find_id(const struct server_pool *pool, const char *id)
{
	const struct slot_index *ids = &pool->index->ids;
	uint16_t i = slot_index_first(ids, hash_of(id));

	while (i != SLOT_INDEX_NONE &&
	       strcmp(visit(pool, i)->announced.id, id) != 0)
		i = slot_index_next(ids, i);
	return i;
}

/* Returns the index of the server in use with a life, or ROUTE_NONE. */
uint16_t
pool_find_life(const struct server_pool *pool, uint64_t life)
{
	return slot_index_first(&pool->index->lives, life);
}

/* Returns the server in use with an address, or ROUTE_NONE. */
uint16_t
pool_find_address(
    const struct server_pool *pool, const struct sockaddr_in *address)
{
	const struct slot_index *addresses = &pool->index->addresses;
	uint16_t i = slot_index_first(addresses, address_key(address));
	uint16_t found = ROUTE_NONE;

	for (; i != SLOT_INDEX_NONE; i = slot_index_next(addresses, i)) {
		if (i < found)
			found = i;
	}
	return found;
}

/* Returns the servers of a service, or NULL if it never had any. */
struct pool_group *
pool_find_group(const struct server_pool *pool, const char *service)
{
	const struct pool_index *index = pool->index;
	uint16_t i = slot_index_first(&index->group_names, hash_of(service));

	while (i != SLOT_INDEX_NONE &&
	       strcmp(index->groups[i]->service, service) != 0)
		i = slot_index_next(&index->group_names, i);
	return i != SLOT_INDEX_NONE ? index->groups[i] : NULL;
}

/* Returns the servers of a server's service, also if it is no longer in use. */
struct pool_group *
pool_group_of(const struct server_pool *pool, const struct pool_server *s)
{
	return s->used ? s->group : pool_find_group(pool, s->announced.service);
}

/* Returns the number of servers in a group, which may be NULL. */
uint16_t
pool_group_count(const struct pool_group *group)
{
	return group != NULL ? group->count : 0;
}

/* Returns the server at a position in a group. */
struct pool_server *
pool_group_member(
    const struct server_pool *pool, const struct pool_group *group, uint16_t i)
{
	return visit(pool, group->members[i]);
}

/* Returns the group of a service without servers that another may take over. */
static uint16_t
find_empty_group(const struct pool_index *index)
{
	uint16_t i = 0;

	while (i < index->group_count && index->groups[i]->count > 0)
		i++;
	return i;
}

/* Returns the group of a service, which is created if need be. */
static struct pool_group *
get_group(struct server_pool *pool, const char *service)
{
	struct pool_index *index = pool->index;
	struct pool_group *group = pool_find_group(pool, service);
	uint16_t i;

	if (group != NULL)
		return group;
	i = find_empty_group(index);
	if (i == index->group_count) {
		index->groups = alloc_resize(index->alloc, index->groups,
		    ++index->group_count * sizeof(struct pool_group *));
		index->groups[i] =
		    alloc_zero(index->alloc, 1, sizeof(*index->groups[i]));
		init_group(index->groups[i], index->alloc);
	}
	group = index->groups[i];
	snprintf(group->service, sizeof(group->service), "%s", service);
	group->oldest_known = false;
	group->base_version[0] = '\0';
	slot_index_put(&index->group_names, hash_of(service), i);
	return group;
}

/* Returns the position in a group from which on servers follow a server. */
static uint16_t
position_in(const struct pool_group *group, uint16_t server)
{
	uint16_t low = 0, high = group->count;

	while (low < high) {
		uint16_t middle = (uint16_t)(low + (high - low) / 2);

		if (group->members[middle] < server)
			low = (uint16_t)(middle + 1);
		else
			high = middle;
	}
	return low;
}

static void
add_member(struct pool_index *index, struct pool_group *group, uint16_t server)
{
	uint16_t at = position_in(group, server);

	if (group->count == group->size) {
		group->size =
		    (uint16_t)(group->size > 0 ? group->size * 2 : MEMBERS_MIN);
		group->members = alloc_resize(index->alloc, group->members,
		    group->size * sizeof(*group->members));
	}
	memmove(&group->members[at + 1], &group->members[at],
	    (size_t)(group->count - at) * sizeof(*group->members));
	group->members[at] = server;
	group->count++;
}

static void
remove_member(struct pool_group *group, uint16_t server)
{
	uint16_t at = position_in(group, server);

	group->count--;
	memmove(&group->members[at], &group->members[at + 1],
	    (size_t)(group->count - at) * sizeof(*group->members));
}

/* Adds a server in use under its id, life, address and service. */
void
pool_index_add(struct server_pool *pool, uint16_t server)
{
	struct pool_index *index = pool->index;
	struct pool_server *s = &pool->servers[server];

	s->id_hash = hash_of(s->announced.id);
	s->load_hash = loads_server_hash(s->announced.id);
	s->group = get_group(pool, s->announced.service);
	slot_index_put(&index->ids, s->id_hash, server);
	slot_index_put(&index->lives, s->life, server);
	slot_index_put(&index->addresses, address_key(&s->address), server);
	slot_index_put(&index->load_hashes, s->load_hash, server);
	add_member(index, s->group, server);
}

/* Removes a server that was added. */
void
pool_index_remove(struct server_pool *pool, uint16_t server)
{
	struct pool_index *index = pool->index;

	slot_index_remove(&index->ids, server);
	slot_index_remove(&index->lives, server);
	slot_index_remove(&index->addresses, server);
	slot_index_remove(&index->load_hashes, server);
	remove_member(pool->servers[server].group, server);
}

/*
 * Returns how many servers were looked at so far, one by one or in passing; the
 * cost of an announcement or a decision in units that no machine changes.
 */
uint64_t
pool_visits(const struct server_pool *pool)
{
	return pool->index->visits;
}
