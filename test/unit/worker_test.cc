// Jobs of the worker's thread: their order, the loop that goes on meanwhile,
// and what becomes of jobs that were not reported.
#include <atomic>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

#include "apr.h"
#include "base/worker.h"

namespace
{

struct Seen {
	struct loop *loop;
	std::vector<int> run, done, dropped;
	std::thread::id run_on, done_on;
	std::atomic<bool> hold{false}; // jobs wait while this is set
	std::atomic<int> begun{0};
	size_t expected;
	int ticks = 0;
};

struct Job {
	struct worker_job job;
	Seen *seen;
	int number;
};

void
run(struct worker_job *job)
{
	Job *j = reinterpret_cast<Job *>(job);

	j->seen->begun++;
	while (j->seen->hold)
		std::this_thread::yield();
	j->seen->run.push_back(j->number);
	j->seen->run_on = std::this_thread::get_id();
}

void
done(struct worker_job *job)
{
	Job *j = reinterpret_cast<Job *>(job);

	j->seen->done.push_back(j->number);
	j->seen->done_on = std::this_thread::get_id();
	if (j->seen->done.size() == j->seen->expected)
		loop_stop(j->seen->loop);
	delete j;
}

void
drop(struct worker_job *job)
{
	Job *j = reinterpret_cast<Job *>(job);

	j->seen->dropped.push_back(j->number);
	delete j;
}

const struct worker_job_ops ops = {run, done, drop};

Job *
new_job(Seen *seen, int number)
{
	return new Job{{&ops, nullptr}, seen, number};
}

// Ends the wait of the jobs after some turns of the loop.
void
on_tick(void *ctx)
{
	Seen *seen = static_cast<Seen *>(ctx);

	if (++seen->ticks == 10)
		seen->hold = false;
	else
		loop_after(seen->loop, 1000, on_tick, seen);
}

class Worker : public ::testing::Test
{
      protected:
	Worker()
	{
		seen.loop = loop_new(alloc_default());
		options.alloc = alloc_default();
		options.loop = seen.loop;
		worker = worker_new(&options);
	}
	~Worker() override
	{
		loop_free(seen.loop);
	}

	Seen seen;
	struct worker_options options = {};
	struct worker *worker;
};

TEST_F(Worker, JobsRunInOrderWhileTheLoopGoesOn)
{
	seen.expected = 5;
	seen.hold = true;
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(0, worker_submit(worker, &new_job(&seen, i)->job));
	loop_after(seen.loop, 1000, on_tick, &seen);
	loop_run(seen.loop);
	worker_free(worker);
	EXPECT_EQ(10, seen.ticks);
	EXPECT_EQ((std::vector<int>{0, 1, 2, 3, 4}), seen.run);
	EXPECT_EQ(seen.run, seen.done);
	EXPECT_TRUE(seen.dropped.empty());
	EXPECT_NE(seen.run_on, seen.done_on);
	EXPECT_EQ(std::this_thread::get_id(), seen.done_on);
}

TEST_F(Worker, ItsEndWaitsForOneJobAndDropsTheOthers)
{
	seen.hold = true;
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(0, worker_submit(worker, &new_job(&seen, i)->job));
	while (seen.begun == 0)
		std::this_thread::yield();
	std::thread release([this] { seen.hold = false; });
	worker_free(worker);
	release.join();
	EXPECT_TRUE(seen.done.empty());
	EXPECT_EQ(3u, seen.dropped.size());
}

TEST_F(Worker, ItsEndWithoutAJobIsFine)
{
	worker_free(worker);
	EXPECT_TRUE(seen.run.empty());
}

} // namespace
