#include "gateway/document.h"

#include "base/log.h"
#include "base/worker.h"

enum {
	/* A larger document is read on the worker's thread. */
	READ_ON_LOOP_MAX_BYTES = 128 * 1024
};

struct gw_document_reader {
	struct gw_document_reader_options options;
	struct worker *worker;
	uint32_t jobs; /* documents with the worker */
};

struct read_job {
	struct worker_job job;
	struct gw_document_reader *reader;
	struct gw_document document;
	gw_document_fn done;
	void *ctx;
};

static void
run_job(struct worker_job *job)
{
	struct read_job *read = (struct read_job *)job;
	const struct gw_dialect *dialect = read->reader->options.dialect;
	struct gw_document *document = &read->document;

	document->error =
	    dialect->ops->read_document(dialect, buf_text(&document->text),
		document->text.len, read->reader->options.from_operators,
		&document->routes, &document->number, &document->why);
}

static void
drop_job(struct worker_job *job)
{
	struct read_job *read = (struct read_job *)job;

	route_table_free(read->document.routes);
	buf_free(&read->document.text);
	buf_free(&read->document.why);
	alloc_free(alloc_default(), read);
}

static void
finish_job(struct worker_job *job)
{
	struct read_job *read = (struct read_job *)job;

	read->reader->jobs--;
	read->done(read->ctx, &read->document);
	drop_job(job);
}

static const struct worker_job_ops job_ops = {run_job, finish_job, drop_job};

struct gw_document_reader *
gw_document_reader_new(const struct gw_document_reader_options *options)
{
	struct gw_document_reader *reader =
	    alloc_zero(options->alloc, 1, sizeof(*reader));
	struct worker_options worker = {
	    .alloc = options->alloc, .loop = options->loop};

	reader->options = *options;
	reader->worker = worker_new(&worker);
	return reader;
}

/*
 * Reads a copy of a document and passes the result to done: a small one before
 * this function returns, a large one, and those that follow it meanwhile, later
 * from the loop.
 */
void
gw_document_read(struct gw_document_reader *reader, const struct buf *text,
    gw_document_fn done, void *ctx)
{
	/* The other thread allocates too: only this allocator allows that. */
	const struct alloc *alloc = alloc_default();
	struct read_job *read = alloc_zero(alloc, 1, sizeof(*read));

	read->job.ops = &job_ops;
	read->reader = reader;
	read->done = done;
	read->ctx = ctx;
	buf_init(&read->document.text, alloc);
	buf_init(&read->document.why, alloc);
	buf_add(&read->document.text, text->data, text->len);
	reader->jobs++;
	if (reader->jobs > 1 || text->len > READ_ON_LOOP_MAX_BYTES) {
		if (worker_submit(reader->worker, &read->job) == 0)
			return;
		log_event(LOG_LEVEL_WARN, "document_read_on_loop", "bytes=%zu",
		    text->len);
	}
	run_job(&read->job);
	finish_job(&read->job);
}

/* Documents that have not been reported are dropped. */
void
gw_document_reader_free(struct gw_document_reader *reader)
{
	if (reader == NULL)
		return;
	worker_free(reader->worker);
	alloc_free(reader->options.alloc, reader);
}
