/** Returns a function that runs tasks in the order of its calls, at most so many at a time. */
export function createTaskLimit(tasksAtOnce: number) {
  let free = tasksAtOnce;
  const waiting: (() => void)[] = [];

  return async function runTask<Result>(task: () => Promise<Result>): Promise<Result> {
    if (free > 0) {
      free -= 1;
    } else {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    }
    try {
      return await task();
    } finally {
      const next = waiting.shift();
      if (next === undefined) free += 1;
      else next();
    }
  };
}
