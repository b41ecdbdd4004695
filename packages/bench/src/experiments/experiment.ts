import type { Policy } from '../createFleet.js';
import type { Figures, TargetResult } from '../targets.js';

/** Options of one run of an experiment. */
export interface ExperimentOptions {
  /** Seed of arrivals, lengths and engines. */
  readonly seed: number;
  readonly policies: readonly Policy[];
  /** Directory for SVG plots; null draws none. */
  readonly plotDirectory: string | null;
  /** Directory for CPU profiles of the routers' processes; null takes none. */
  readonly profileDirectory: string | null;
  /** Writes text for people; does nothing when only JSON is printed. */
  write(text: string): void;
}

/** Figures of one run of an experiment, and how they compare with its targets. */
export interface ExperimentResult {
  readonly figures: Figures;
  readonly targets: readonly TargetResult[];
}

/** An experiment that the command line runs by name. */
export interface Experiment {
  readonly name: string;
  /** What it shows, in one line. */
  readonly summary: string;
  run(options: ExperimentOptions): Promise<ExperimentResult>;
}
