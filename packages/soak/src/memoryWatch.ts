import { readFile } from 'node:fs/promises';

/** Interval at which the memory of each process is read. */
const SAMPLE_MS = 250;

const BYTES_PER_KILOBYTE = 1024;

/** The process of a VM; null while none runs. */
interface Process {
  readonly name: string;
  readonly pid: number | null;
}

/** The first moment at which a process of a VM held more than it may. */
export interface MemoryExcess {
  readonly vm: string;
  readonly at: number;
  readonly bytes: number;
}

/** What the processes of the VMs have held. */
export interface MemoryUse {
  readonly limitBytes: number;
  readonly excesses: readonly MemoryExcess[];
  /** Most bytes that any process of a VM has held, by VM. */
  readonly peaks: Readonly<Record<string, number>>;
}

/** Returns the most that a process has held and its memory now; zero once it has ended. */
export async function readMemoryBytes(pid: number): Promise<number> {
  try {
    const status = await readFile(`/proc/${pid}/status`, 'utf8');
    const sizes = [...status.matchAll(/^Vm(?:HWM|RSS):\s+(\d+) kB$/gm)];
    return Math.max(0, ...sizes.map(([, kilobytes]) => Number(kilobytes) * BYTES_PER_KILOBYTE));
  } catch {
    return 0;
  }
}

/** Reads the memory of each VM's process from outside, a few times a second. */
export class MemoryWatch {
  readonly #excesses: MemoryExcess[] = [];

  readonly #peaks: Record<string, number> = {};

  /** Processes that are known to hold too much: each is one excess. */
  readonly #reported = new Set<number>();

  #timer: NodeJS.Timeout | null = null;

  constructor(readonly limitBytes: number) {}

  start(processes: readonly Process[]): void {
    this.#timer = setInterval(() => {
      processes.forEach((one) => {
        void this.#sample(one);
      });
    }, SAMPLE_MS);
  }

  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
  }

  get use(): MemoryUse {
    return { limitBytes: this.limitBytes, excesses: this.#excesses, peaks: this.#peaks };
  }

  async #sample({ name, pid }: Process): Promise<void> {
    if (pid === null) return;
    const bytes = await readMemoryBytes(pid);
    this.#peaks[name] = Math.max(this.#peaks[name] ?? 0, bytes);
    if (bytes <= this.limitBytes || this.#reported.has(pid)) return;
    this.#reported.add(pid);
    this.#excesses.push({ vm: name, at: Date.now(), bytes });
  }
}
