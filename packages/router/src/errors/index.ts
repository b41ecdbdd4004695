export {
  PeerError,
  PlatformError,
  RouterError,
  SettingsError,
  type RouterErrorCode,
} from './routerError.js';
